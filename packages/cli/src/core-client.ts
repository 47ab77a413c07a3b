/** Client of the fleet's administration API, shared by the commands (design 9.2). */
import { Flags, type Command } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, identifiers, type Fault, type OutgoingHttpRequest, type HttpReply } from '@stallstall/kernel';
import { network } from '@stallstall/runtime';

/** How long a command waits for the reply of one core. */
const requestTimeoutMilliseconds = 8_000;

/** Flags of every command that sends requests to a core. */
export const coreFlags = {
  core: Flags.string({
    description: 'outward addresses of the cores, separated by commas; they are tried in order',
    env: 'STALLSTALL_CORES',
    required: true,
  }),
  key: Flags.string({ description: "the operator's key, if the fleet requires one", env: 'STALLSTALL_OPERATOR_KEY' }),
};
/** Flags of commands that list rows page by page. */
export const pageFlags = {
  ...coreFlags,
  limit: Flags.integer({ description: 'the maximum number of rows to show', default: 100, min: 1, max: 500 }),
  after: Flags.integer({ description: 'how many rows to skip', default: 0, min: 0 }),
};

export type CoreFlags = Readonly<{ core: string; key: string | undefined }>;

/** Exit codes: 0 success, 1 denied by the fleet or a check failed, 2 wrong arguments or files, 3 no core could be reached. */
export const exitCodes = { rejected: 1, usage: 2, unreachable: 3 } as const;

/**
 * Sends a request to one core after another until one of them may have received it.
 * @param cores - the outward addresses of the cores, separated by commas
 */
async function requestAny(cores: string, request: OutgoingHttpRequest): Promise<Either.Either<Fault, HttpReply>> {
  let outcome: Either.Either<Fault, HttpReply> = Either.left(
    fault.create({ kind: 'unreachable', message: 'no core address was given', remedy: 'pass one with --core or set STALLSTALL_CORES' }),
  );
  for (const address of cores.split(',')) {
    const connection = network.connect(identifiers.address(address.trim()));
    outcome = await connection.exchange(request, requestTimeoutMilliseconds);
    connection.close();
    // The next core is tried only if no byte of the request was sent: otherwise this core may have carried it out already.
    if (Either.isRight(outcome) || fault.kind(outcome.left) !== 'unreachable') return outcome;
  }
  return outcome;
}

type ErrorBody = Readonly<{ error?: string; message?: string; details?: unknown }>;

/** Formats the faults found in a sheet, one line each. */
function formatSheetFaults(details: unknown): string {
  if (!Array.isArray(details)) return '';
  return (details as ReadonlyArray<Readonly<Record<string, string>>>)
    .map((sheetFault) => `\n  ${sheetFault['row']} ${sheetFault['column']}: ${sheetFault['message']}; ${sheetFault['remedy']}`)
    .join('');
}

/** Returns the body of a successful reply; on any other outcome, ends the command with a message and an exit code. */
async function requestOrExit(command: Command, flags: CoreFlags, request: OutgoingHttpRequest): Promise<unknown> {
  const reply = await requestAny(flags.core, {
    ...request,
    headers: { ...request.headers, ...(flags.key === undefined ? {} : { 'x-stallstall-operator': flags.key }) },
  });
  if (Either.isLeft(reply)) return command.error(reply.left.message, { exit: exitCodes.unreachable });
  if (reply.right.status < 300) return reply.right.body;
  const errorBody = reply.right.body as ErrorBody | null;
  const message = `${errorBody?.error ?? reply.right.status}: ${errorBody?.message ?? 'denied'}${formatSheetFaults(errorBody?.details)}`;
  return command.error(message, { exit: exitCodes.rejected });
}

export const coreClient = { requestAny, requestOrExit } as const;
