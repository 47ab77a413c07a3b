/** A product process of a soak as its supervisor sees it: started again whenever it is to run, by the settings of that moment. */
import { spawn, type ChildProcess } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ProcessMessage, ProcessRequest, ProcessSettings } from './soak-messages.js';

export type ProcessUse = Readonly<{ residentBytes: number; descriptors: number; heapBytes: number; timers: number; sockets: number }>;

export type ProductProcess = Readonly<{
  name: string;
  /** Starts it unless it runs; resolves once it is ready. */
  start: (settings: ProcessSettings) => Promise<void>;
  /** Writes settings that it reads at its next SIGHUP. */
  writeSettings: (settings: ProcessSettings) => void;
  signal: (signal: NodeJS.Signals) => void;
  /** SIGKILL; resolves once it has ended. */
  kill: () => Promise<void>;
  /** SIGTERM, and SIGKILL after its grace; resolves once it has ended. */
  terminate: (graceMilliseconds: number) => Promise<void>;
  send: (request: ProcessRequest) => void;
  isRunning: () => boolean;
  /** How often it was started. */
  lives: () => number;
  /** What it takes up now; undefined while it does not answer. */
  use: () => Promise<ProcessUse | undefined>;
}>;

type ProcessEvents = Readonly<{
  onApplied: (order: number) => void;
  /** It ended without having been told to. */
  onUnexpectedEnd: (detail: string) => void;
}>;

const program = path.resolve(path.dirname(fileURLToPath(import.meta.url)), 'soak-process.js');
const startMilliseconds = 20_000;
const answerMilliseconds = 1_000;
const pageBytes = 4_096;

/** A frozen process outlives the soak that started it, unless it is killed with it. */
const launched = new Set<ChildProcess>();
process.on('exit', function killAll() {
  for (const child of launched) child.kill('SIGKILL');
});

function residentBytesOf(processId: number): number {
  try {
    return Number(fs.readFileSync(`/proc/${processId}/statm`, 'utf8').split(' ')[1]) * pageBytes;
  } catch {
    return 0;
  }
}

function descriptorsOf(processId: number): number {
  try {
    return fs.readdirSync(`/proc/${processId}/fd`).length;
  } catch {
    return 0;
  }
}

function create(name: string, folder: string, events: ProcessEvents): ProductProcess {
  const settingsFile = path.join(folder, `${name}.json`);
  let child: ChildProcess | undefined;
  let isEndWanted = false;
  let isListening = false;
  let lives = 0;
  let onResources: ((message: Extract<ProcessMessage, { kind: 'resources' }>) => void) | undefined;

  function isRunning(): boolean {
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** A process that starts just then reads the former settings or these, never a part. */
  function writeSettings(settings: ProcessSettings): void {
    const written = `${settingsFile}.new`;
    fs.writeFileSync(written, JSON.stringify(settings, null, 2));
    fs.renameSync(written, settingsFile);
  }

  function launch(): ChildProcess {
    const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
    const started = spawn(process.execPath, [program, settingsFile], { stdio: ['ignore', log, log, 'ipc'] });
    fs.closeSync(log);
    launched.add(started);
    started.on('exit', function onExit(code, signal) {
      launched.delete(started);
      if (started === child && !isEndWanted) events.onUnexpectedEnd(`${name} ended by itself: code ${code}, signal ${signal}`);
    });
    return started;
  }

  function ready(started: ChildProcess): Promise<void> {
    return new Promise(function wait(resolve) {
      const timer = setTimeout(resolve, startMilliseconds);
      function done(): void {
        clearTimeout(timer);
        resolve();
      }
      started.once('exit', done);
      started.on('message', function onMessage(message: ProcessMessage) {
        if (message.kind === 'started') done();
        else if (message.kind === 'listening') isListening = true;
        else if (message.kind === 'applied') events.onApplied(message.order);
        else onResources?.(message);
      });
    });
  }

  async function end(act: (running: ChildProcess) => void): Promise<void> {
    const running = child;
    if (running === undefined || !isRunning()) return;
    isEndWanted = true;
    const ended = new Promise<void>((resolve) => running.once('exit', () => resolve()));
    act(running);
    await ended;
  }

  return {
    name,
    writeSettings,
    start: async function start(settings) {
      if (isRunning()) return;
      writeSettings(settings);
      isEndWanted = false;
      lives += 1;
      isListening = false;
      child = launch();
      await ready(child);
    },
    // Until it listens a runtime ends at this signal, whatever program it is about to run.
    signal: (signal) => void (isRunning() && (isListening || signal !== 'SIGHUP') && child?.kill(signal)),
    kill: () => end((running) => running.kill('SIGKILL')),
    terminate: (graceMilliseconds) =>
      end(function terminate(running) {
        running.kill('SIGTERM');
        const timer = setTimeout(() => running.kill('SIGKILL'), graceMilliseconds);
        running.once('exit', () => clearTimeout(timer));
      }),
    send: (request) => void (isRunning() && child?.connected === true && child.send(request, () => undefined)),
    isRunning,
    lives: () => lives,
    use: async function use() {
      const processId = child?.pid;
      if (processId === undefined || !isRunning()) return undefined;
      const answer = await new Promise<Extract<ProcessMessage, { kind: 'resources' }> | undefined>(function ask(resolve) {
        const timer = setTimeout(() => resolve(undefined), answerMilliseconds);
        onResources = function take(message) {
          clearTimeout(timer);
          resolve(message);
        };
        child?.send({ kind: 'resources' } satisfies ProcessRequest, () => undefined);
      });
      if (answer === undefined) return undefined;
      const { heapBytes, timers, sockets } = answer;
      return { residentBytes: residentBytesOf(processId), descriptors: descriptorsOf(processId), heapBytes, timers, sockets };
    },
  };
}

export const productProcess = { create } as const;
