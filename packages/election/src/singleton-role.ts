// Duties: one holder at a time, by a turn number and a term in the register (design 7.6).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import {
  fault,
  identifiers,
  type Address,
  type Fault,
  type OutgoingHttpRequest,
  type HttpConnection,
  type HttpReply,
  type Instant,
  type Kernel,
} from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import { registerService } from '@stallstall/register';
import { marginMilliseconds, termMilliseconds } from '@stallstall/quorum-lease';

const DutySchema = Type.Object({
  holder: Type.String(),
  turn: Type.Integer({ minimum: 1 }),
  renewals: Type.Integer({ minimum: 0 }),
  released: Type.Boolean(),
});
export type RoleRecord = Readonly<Static<typeof DutySchema>>;

export type RoleLease = Readonly<{
  fencingToken: number;
  /**
   * One call under this turn. It leaves only while the term has room for its way; the duty is renewed beside it, and should the
   * term run out all the same, the call is taken back.
   */
  call: (address: Address, ask: OutgoingHttpRequest, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  renew: () => Promise<boolean>;
  release: () => Promise<void>;
}>;

export type SingletonRole = Readonly<{
  /** One step towards holding: none while another's term may still run. */
  tryAcquire: () => Promise<Option.Option<RoleLease>>;
}>;

const renewMilliseconds = 500;
/** What a call may take to reach whom it is for. */
const wayMilliseconds = 400;

function stateOf(entry: Option.Option<Entry>): Option.Option<RoleRecord> {
  return Option.isSome(entry) && message.matches(DutySchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
}

/**
 * `restMilliseconds`: should another have held the duty since this holder acted last, it does not take it back before so
 * long after that act, so that no platform sees the same two holders in turns (design 7.6).
 */
function create(kernel: Kernel, name: string, self: string, restMilliseconds = 0): SingletonRole {
  const register = kernel.services.find(registerService);
  const key = `duty/${name}`;
  // A restarted process is another holder: what its predecessor began is not its own.
  const holder = `${self}#${kernel.randomness.token()}`;
  let acted: Option.Option<Readonly<{ turn: number; at: Instant }>> = Option.none;
  let seen: Option.Option<Readonly<{ state: RoleRecord; since: Instant }>> = Option.none;

  function hold(turn: number, from: Instant): RoleLease {
    let until = identifiers.after(from, termMilliseconds);
    let renewing: Promise<boolean> | undefined;
    let released = false;
    /** Calls under way. */
    const calling = new Set<HttpConnection>();

    /** Who asks while a renewal is under way shares it. */
    function renew(): Promise<boolean> {
      renewing ??= replace(false).finally(() => {
        renewing = undefined;
      });
      return renewing;
    }

    async function replace(lastTime: boolean): Promise<boolean> {
      const sentAt = kernel.clock.now();
      const changed = await register.change(
        key,
        function next(entry) {
          const state = stateOf(entry);
          return Option.isSome(state) && state.value.holder === holder && state.value.turn === turn && !state.value.released
            ? Option.some({ ...state.value, renewals: state.value.renewals + 1, released: lastTime })
            : Option.none;
        },
        1_000,
      );
      const kept = Either.isRight(changed) && changed.right.wrote;
      if (kept && !released) until = identifiers.after(sentAt, termMilliseconds);
      return kept;
    }

    function left(): number {
      return until - kernel.clock.now();
    }

    async function act(address: Address, ask: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
      if (left() < termMilliseconds / 2) await renew();
      if (left() < wayMilliseconds) {
        return Either.left(
          fault.create({
            kind: 'superseded',
            message: `the term of ${name} under turn ${turn} has no room for a call`,
            remedy: 'who holds the duty next makes it',
          }),
        );
      }
      const connection = kernel.network.connect(address);
      calling.add(connection);
      let under = true;
      function guard(): void {
        if (!under) return;
        if (left() <= 0) connection.close();
        else kernel.clock.startTimer(left(), guard);
      }
      async function renewBeside(): Promise<void> {
        for (await kernel.clock.sleep(renewMilliseconds); under; await kernel.clock.sleep(renewMilliseconds)) await renew();
      }
      guard();
      void renewBeside();
      acted = Option.some({ turn, at: kernel.clock.now() });
      const reply = await connection.exchange({ ...ask, leaveBefore: until }, milliseconds);
      acted = Option.some({ turn, at: kernel.clock.now() });
      under = false;
      calling.delete(connection);
      connection.close();
      return reply;
    }

    return {
      fencingToken: turn,
      call: act,
      renew,
      release: async function release() {
        released = true;
        until = kernel.clock.now();
        // What is under way is taken back: the next holder may act as soon as the release stands.
        for (const connection of calling) connection.close();
        await replace(true);
      },
    };
  }

  function mayTake(state: RoleRecord): boolean {
    if (Option.isSome(acted) && state.turn !== acted.value.turn && kernel.clock.now() - acted.value.at < restMilliseconds) return false;
    if (state.released) return true;
    if (Option.isNone(seen)) return false;
    const known = seen.value;
    if (known.state.turn !== state.turn || known.state.renewals !== state.renewals) return false;
    return kernel.clock.now() - known.since >= termMilliseconds + marginMilliseconds;
  }

  async function seek(): Promise<Option.Option<RoleLease>> {
    const read = await register.read(key, 1_000);
    if (Either.isLeft(read)) return Option.none;
    const current = stateOf(read.right);
    if (Option.isSome(current)) {
      const state = current.value;
      if (Option.isNone(seen) || seen.value.state.turn !== state.turn || seen.value.state.renewals !== state.renewals) {
        seen = Option.some({ state, since: kernel.clock.now() });
      }
      if (!mayTake(state)) return Option.none;
    }
    const sentAt = kernel.clock.now();
    const taken = await register.change(
      key,
      function take(entry) {
        const state = stateOf(entry);
        if (Option.isNone(state)) return Option.some({ holder, turn: 1, renewals: 0, released: false });
        if (!mayTake(state.value)) return Option.none;
        return Option.some({ holder, turn: state.value.turn + 1, renewals: 0, released: false });
      },
      1_000,
    );
    if (Either.isLeft(taken) || !taken.right.wrote) return Option.none;
    const state = stateOf(taken.right.entry);
    return Option.isSome(state) && state.value.holder === holder ? Option.some(hold(state.value.turn, sentAt)) : Option.none;
  }

  return { tryAcquire: seek };
}

export const singletonRole = { create, stateOf } as const;
