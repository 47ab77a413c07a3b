/** How a command reaches the administration API of the fleet (design 9.2). */
import { Flags, type Command } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, identifiers, type Fault, type OutgoingHttpRequest, type HttpReply } from '@stallstall/kernel';
import { network } from '@stallstall/runtime';

/** How long one core is waited for. */
const exchangeMilliseconds = 8_000;

/** Flags of every command that asks a core. */
export const coreFlags = {
  core: Flags.string({
    description: 'outward addresses of cores, with commas between; each is tried',
    env: 'STALLSTALL_CORES',
    required: true,
  }),
  key: Flags.string({ description: "the operator's key, where the fleet asks for one", env: 'STALLSTALL_OPERATOR_KEY' }),
};
/** Flags of commands that list rows. */
export const pageFlags = {
  ...coreFlags,
  limit: Flags.integer({ description: 'how many rows at the most', default: 100, min: 1, max: 500 }),
  after: Flags.integer({ description: 'begin after so many rows', default: 0, min: 0 }),
};

export type CoreFlags = Readonly<{ core: string; key: string | undefined }>;

/** Exit codes: 0 done, 1 denied by the fleet, 2 wrong call, 3 no core reached. */
export const exits = { rejected: 1, wrong: 2, unreachable: 3 } as const;

/** Asks one core after another until one of them may have received the request. `cores`: outward addresses with commas between. */
async function askAny(cores: string, ask: OutgoingHttpRequest): Promise<Either.Either<Fault, HttpReply>> {
  let last: Either.Either<Fault, HttpReply> = Either.left(
    fault.create({ kind: 'unreachable', message: 'no core is named', remedy: 'name one with --core' }),
  );
  for (const address of cores.split(',')) {
    const connection = network.connect(identifiers.address(address.trim()));
    last = await connection.exchange(ask, exchangeMilliseconds);
    connection.close();
    // Only what surely never left may be asked of another core.
    if (Either.isRight(last) || fault.kind(last.left) !== 'unreachable') return last;
  }
  return last;
}

type Rejection = Readonly<{ error?: string; message?: string; details?: unknown }>;

/** A line for each fault of a sheet. */
function faultLines(details: unknown): string {
  if (!Array.isArray(details)) return '';
  return (details as ReadonlyArray<Readonly<Record<string, string>>>)
    .map((one) => `\n  ${one['row']} ${one['column']}: ${one['message']}; ${one['remedy']}`)
    .join('');
}

/** The body of a successful response; any other ends the command with a message and an exit code. */
async function replyOf(command: Command, flags: CoreFlags, ask: OutgoingHttpRequest): Promise<unknown> {
  const reply = await askAny(flags.core, {
    ...ask,
    headers: { ...ask.headers, ...(flags.key === undefined ? {} : { 'x-stallstall-operator': flags.key }) },
  });
  if (Either.isLeft(reply)) return command.error(reply.left.message, { exit: exits.unreachable });
  if (reply.right.status < 300) return reply.right.body;
  const rejection = reply.right.body as Rejection | null;
  const message = `${rejection?.error ?? reply.right.status}: ${rejection?.message ?? 'denied'}${faultLines(rejection?.details)}`;
  return command.error(message, { exit: exits.rejected });
}

export const coreClient = { askAny, replyOf } as const;
