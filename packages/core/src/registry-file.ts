/** The member registry on a core's disk: where members are until their heartbeats tell, and what they said of their end (design 4.7, 7.14). */
import * as Either from 'fp-ts/lib/Either.js';
import { Type } from '@sinclair/typebox';
import type { Disk, Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import { MemberRecordSchema, message } from '@stallstall/message';
import { registryKey } from './data-folder.js';

/** @internal */
export type RegistryFile = Readonly<{
  /** Resolves to true once the disk holds the registry as it is now. */
  write: () => Promise<boolean>;
  /** Writes some time later: it saves time after a restart, and nothing depends on it. */
  writeLater: () => void;
  stop: () => void;
}>;

const RecordsSchema = Type.Array(MemberRecordSchema);
const writeDelayMilliseconds = 300;

/** Has a registry start from what the disk held when the process started. */
function restore(registry: MemberRegistry, stored: unknown): void {
  if (message.matches(RecordsSchema, stored)) registry.restore(stored);
}

function create(runtime: Runtime, disk: Pick<Disk, 'put'>, registry: MemberRegistry): RegistryFile {
  let writtenVersion = 0;
  let isScheduled = false;
  let isStopped = false;

  async function write(): Promise<boolean> {
    const version = registry.version();
    if (version <= writtenVersion) return true;
    const written = await disk.put(registryKey, registry.changedSince(0));
    if (Either.isRight(written)) writtenVersion = Math.max(writtenVersion, version);
    return Either.isRight(written);
  }

  function writeLater(): void {
    if (isScheduled || isStopped) return;
    isScheduled = true;
    runtime.clock.startTimer(writeDelayMilliseconds, function writeNow() {
      isScheduled = false;
      if (!isStopped) void write();
    });
  }

  return {
    write,
    writeLater,
    stop: function stop() {
      isStopped = true;
    },
  };
}

/** @internal */
export const registryFile = { create, restore } as const;
