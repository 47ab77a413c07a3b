/**
 * The member registry on a core's disk. After a restart it supplies the members' addresses until their next heartbeats, and which members
 * are draining or have left (design 4.7, 7.14).
 */
import * as Either from 'fp-ts/lib/Either.js';
import { Type } from '@sinclair/typebox';
import type { Disk, Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import { MemberRecordSchema, message } from '@stallstall/message';
import { registryKey } from './data-folder.js';

/** @internal */
export type RegistryFile = Readonly<{
  /** Writes the registry; resolves to true once its current state is on disk. */
  write: () => Promise<boolean>;
  /** Schedules a write. It only shortens recovery after a restart; correctness does not depend on it. */
  writeLater: () => void;
  stop: () => void;
}>;

const RecordsSchema = Type.Array(MemberRecordSchema);
const writeDelayMilliseconds = 300;

/** Initializes a registry with the records that were on disk when the process started. */
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
