/** A stand-in for a platform that promotes members and takes usage, and checks the turn of whoever holds a duty (design 10.1). */
import { identifiers, runtimeUtilities, type HttpReply, type HttpRequest, type Runtime, type Listener } from '@stallstall/kernel';

/** Promotion reaches members in one moment, whatever is cut off from whom. */
export type SessionPlatformMember = Readonly<{
  service: string;
  member: string;
  control: string;
  runs: () => boolean;
  lead: (term: number) => void;
  follow: (term: number, primary: string) => void;
}>;
/** `at` is when the call arrived. */
export type DutyCall = Readonly<{
  at: number;
  duty: 'promotion' | 'usage';
  subject: string;
  holder: string;
  turn: number;
  accepted: boolean;
  body: Readonly<Record<string, unknown>>;
}>;
export type SessionPlatformStore = {
  readonly calls: DutyCall[];
  readonly leaders: Map<string, Readonly<{ member: string; term: number; at: number }>>;
  readonly turns: Map<string, number>;
};
export type SessionPlatformKnobs = {
  slowMilliseconds: number;
  down: boolean;
  losesReplies: boolean;
  /** A promotion takes effect this long after its reply; 0: before it. */
  effectAfterReplyMilliseconds: number;
};
export type SessionPlatform = Readonly<{ knobs: SessionPlatformKnobs; stop: () => Promise<void> }>;
export type SessionPlatformSettings = Readonly<{
  address: string;
  members: () => readonly SessionPlatformMember[];
  promoteMilliseconds: number;
}>;

const followMilliseconds = 50;

function emptyStore(): SessionPlatformStore {
  return { calls: [], leaders: new Map(), turns: new Map() };
}

async function start(runtime: Runtime, settings: SessionPlatformSettings, store: SessionPlatformStore): Promise<SessionPlatform> {
  const knobs: SessionPlatformKnobs = { slowMilliseconds: 0, down: false, losesReplies: false, effectAfterReplyMilliseconds: 0 };
  let stopped = false;

  /** Whoever calls with a lower turn than one already seen for the same duty and subject is denied. */
  function take(request: HttpRequest, duty: DutyCall['duty'], subject: string, at: number): boolean {
    const holder = request.headers['holder'] ?? '';
    const turn = Number(request.headers['turn']);
    const key = `${duty}/${subject}`;
    const accepted = turn >= (store.turns.get(key) ?? 0);
    if (accepted) store.turns.set(key, turn);
    store.calls.push({ at, duty, subject, holder, turn, accepted, body: request.body as Readonly<Record<string, unknown>> });
    return accepted;
  }

  async function under(request: HttpRequest, duty: DutyCall['duty'], subject: string, act: () => Promise<HttpReply>): Promise<HttpReply> {
    const at = runtime.clock.now();
    if (knobs.down) return { status: 503, body: {} };
    if (!take(request, duty, subject, at)) return { status: 409, body: {} };
    if (knobs.slowMilliseconds > 0) await runtime.clock.sleep(knobs.slowMilliseconds);
    const reply = await act();
    return knobs.losesReplies ? new Promise(() => undefined) : reply;
  }

  async function promote(service: string, member: string): Promise<HttpReply> {
    if (store.leaders.get(service)?.member === member) return { status: 200, body: {} };
    if (knobs.effectAfterReplyMilliseconds > 0) {
      runtime.clock.startTimer(knobs.effectAfterReplyMilliseconds, () => void lead(service, member));
      return { status: 200, body: {} };
    }
    await runtime.clock.sleep(settings.promoteMilliseconds);
    return { status: lead(service, member) ? 200 : 409, body: {} };
  }

  /** False when that member is not running. */
  function lead(service: string, member: string): boolean {
    const target = settings.members().find((one) => one.member === member && one.service === service && one.runs());
    if (target === undefined) return false;
    const before = store.leaders.get(service);
    if (before?.member === member) return true;
    const term = (before?.term ?? 0) + 1;
    store.leaders.set(service, { member, term, at: runtime.clock.now() });
    // In the same moment whoever led gives up the lead.
    target.lead(term);
    follow();
    return true;
  }

  /** Members that come new learn whom to follow. */
  function follow(): void {
    const members = settings.members();
    for (const one of members) {
      const leader = store.leaders.get(one.service);
      if (leader !== undefined && leader.member !== one.member)
        one.follow(leader.term, members.find((other) => other.member === leader.member)?.control ?? '');
    }
  }

  const listening: Listener = await runtime.network.serve(identifiers.address(settings.address), {
    routes: [
      {
        method: 'POST',
        path: '/duties/promotion',
        handle: function promotion(request) {
          const { service, member } = request.body as Readonly<{ service: string; member: string }>;
          return under(request, 'promotion', service, () => promote(service, member));
        },
      },
      {
        method: 'POST',
        path: '/duties/usage',
        handle: (request) => under(request, 'usage', 'windows', async () => ({ status: 200, body: {} })),
      },
    ],
  });
  void runtimeUtilities.every(runtime.clock, followMilliseconds, follow, () => !stopped);

  return {
    knobs,
    stop: async function stop() {
      stopped = true;
      await listening.stop();
    },
  };
}

export const sessionPlatform = { start, emptyStore } as const;
