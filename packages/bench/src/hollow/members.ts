/** Hollow members: they beat, tell their STATE, run statements by waiting, and are promoted by a hollow platform. */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type HttpConnection, type Kernel, type Stream } from '@stallstall/kernel';
import { plainDialect } from './dialect.js';
import { hollowRoles, type HollowAsk, type HollowRole } from './roles.js';

type MembersRole = Extract<HollowRole, { role: 'members' }>;
type Member = {
  readonly member: string;
  readonly service: string;
  readonly area: string;
  primary: boolean;
  draining: boolean;
  silent: boolean;
  sequence: number;
  term: number;
  number: number;
};

export type Members = Readonly<{ reply: (ask: HollowAsk) => Readonly<Record<string, number>> }>;

const membersOfService = 3;
const beatDeadlineMilliseconds = 2_000;
const lines = 1_048_576;

async function start(kernel: Kernel, settings: MembersRole): Promise<Members> {
  const table = new Map<string, Member>();
  const held = new Map<Stream, Member>();
  const platformApiAddresses = new Map<string, HttpConnection>();
  let rejectedBeats = 0;
  for (let index = 0; index < settings.services * membersOfService; index += 1) {
    const service = hollowRoles.serviceName(Math.floor(index / membersOfService));
    const member = `${service}-${(index % membersOfService) + 1}`;
    table.set(member, {
      member,
      service,
      area: settings.areas[index % settings.areas.length] as string,
      primary: index % membersOfService === 0,
      draining: false,
      silent: false,
      sequence: 0,
      term: 1,
      number: 1,
    });
  }

  function connectionTo(platformApiAddress: string): HttpConnection {
    const known = platformApiAddresses.get(platformApiAddress);
    if (known !== undefined && !known.closed()) return known;
    const opened = kernel.network.connect(identifiers.address(platformApiAddress));
    platformApiAddresses.set(platformApiAddress, opened);
    return opened;
  }

  async function beat(member: Member, index: number): Promise<void> {
    if (member.silent) return;
    member.sequence += 1;
    const platformApiAddress = settings.platformApiAddresses[index % settings.platformApiAddresses.length] as string;
    const reply = await connectionTo(platformApiAddress).exchange(
      {
        method: 'POST',
        path: '/beats',
        body: {
          member: member.member,
          service: member.service,
          address: settings.address,
          area: member.area,
          draining: member.draining,
          role: member.primary ? 'primary' : 'replica',
          slots: 10,
          sequence: member.sequence,
        },
      },
      beatDeadlineMilliseconds,
    );
    if (reply._tag === 'Left' || reply.right.status !== 200) rejectedBeats += 1;
  }

  /** One task for each core's platformApiAddress, which takes one exchange at a time; beats are spread over the period. */
  async function beatTask(platformApiAddress: number): Promise<void> {
    const mine = [...table.values()].filter((_, index) => index % settings.platformApiAddresses.length === platformApiAddress);
    for (;;) {
      const began = kernel.clock.now();
      for (const [index, member] of mine.entries()) {
        await beat(member, platformApiAddress);
        const due = began + (settings.beatMilliseconds * (index + 1)) / mine.length;
        if (kernel.clock.now() < due) await kernel.clock.sleep(due - kernel.clock.now());
      }
    }
  }

  /** Replicas follow at once. */
  function write(member: Member): void {
    member.number += 1;
    for (const one of table.values()) if (one.service === member.service && !one.silent) one.number = member.number;
  }

  async function query(member: Member, text: string): Promise<string> {
    const at = Option.some({ term: member.term, number: member.number });
    if (text === 'state')
      return `row ${member.primary ? 'primary' : 'replica'} ${member.term} ${member.term}.${member.number}\ndone -\n${plainDialect.idle('idle', at)}`;
    if (settings.runMilliseconds > 0) await kernel.clock.sleep(settings.runMilliseconds);
    if (text.includes('write ')) write(member);
    return `row value\ndone -\n${plainDialect.idle('idle', Option.some({ term: member.term, number: member.number }))}`;
  }

  async function serve(stream: Stream): Promise<void> {
    const framer = plainDialect.framer(lines);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      for (const message of framer.push(piece.value).messages) {
        const [word, _identifier, ...others] = message.split(' ');
        if (word === 'open') {
          const member = table.get(others[1] ?? '');
          if (member === undefined || member.silent) {
            stream.reset();
            return;
          }
          held.set(stream, member);
          stream.write(plainDialect.idle('idle', Option.none));
          continue;
        }
        const member = held.get(stream);
        if (word !== 'query' || member === undefined) {
          stream.close();
          break;
        }
        stream.write(await query(member, others.join(' ')));
      }
    }
    held.delete(stream);
  }

  function primaryOf(service: string): Member | undefined {
    return [...table.values()].find((member) => member.service === service && member.primary);
  }

  function promote(member: string): void {
    const promoted = table.get(member);
    if (promoted === undefined) return;
    const before = primaryOf(promoted.service);
    const term = Math.max(...[...table.values()].filter((one) => one.service === promoted.service).map((one) => one.term)) + 1;
    if (before !== undefined) before.primary = false;
    promoted.primary = true;
    promoted.term = term;
    for (const one of table.values())
      if (one.service === promoted.service && !one.silent) Object.assign(one, { term, number: promoted.number });
  }

  await kernel.network.listenStream(identifiers.address(settings.address), (stream) => void serve(stream));
  await kernel.network.serve(identifiers.address(settings.platform), {
    routes: [
      {
        method: 'POST',
        path: '/promotions',
        handle: async function take(request) {
          promote((request.body as { member: string }).member);
          return { status: 200, body: {} };
        },
      },
      { method: 'POST', path: '/usage', handle: async () => ({ status: 200, body: {} }) },
    ],
  });
  for (let platformApiAddress = 0; platformApiAddress < settings.platformApiAddresses.length; platformApiAddress += 1)
    void beatTask(platformApiAddress);

  return {
    reply: function reply(ask) {
      const primary = 'service' in ask ? primaryOf(ask.service) : undefined;
      if (ask.kind === 'drain' && primary !== undefined) {
        primary.draining = true;
        void beat(primary, 0);
      }
      if (ask.kind === 'crash' && primary !== undefined) {
        primary.silent = true;
        for (const [stream, member] of held) if (member === primary) stream.reset();
      }
      return { deniedBeats: rejectedBeats, at: Date.now() };
    },
  };
}

export const hollowMembers = { start } as const;
