/** Logs what a core waits for while it does not serve ballots (design 4.3, 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { runtimeUtilities } from '@stallstall/kernel';
import type { CoreServices } from './core-context.js';
import type { FleetBootstrap } from './fleet-bootstrap.js';
import { coreSetOf } from './fleet-record.js';

/** A core that has waited for less than this is not logged, since every start takes a moment. */
const intervalMilliseconds = 1_000;

function logWait({ context, storage }: CoreServices, bootstrap: Pick<FleetBootstrap, 'discovered'>, milliseconds: number): void {
  const record = storage.recordStore.current();
  context.runtime.log('core.waits', {
    milliseconds,
    stage: storage.recordStore.stage(),
    set: Option.isSome(record) ? coreSetOf(record.value).number : 0,
    step: Option.isSome(context.coreSet) ? context.coreSet.value.learnerStep() : '',
    discovered: bootstrap.discovered().join(', '),
    puts: context.disk.puts(),
    canWrite: Option.isNone(context.disk.syncFault()),
  });
}

/** Logs once a second from now on, as long as this core runs and serves no ballots. */
function watch(services: CoreServices, bootstrap: Pick<FleetBootstrap, 'discovered'>): void {
  const { context, storage } = services;
  const { clock } = context.runtime;
  let closedSince = clock.now();
  function check(): void {
    if (storage.cells.ready()) closedSince = clock.now();
    else if (clock.now() - closedSince >= intervalMilliseconds) logWait(services, bootstrap, Math.round(clock.now() - closedSince));
  }
  void runtimeUtilities.every(clock, intervalMilliseconds, check, () => !context.isStopped);
}

/** @internal */
export const openingWait = { watch } as const;
