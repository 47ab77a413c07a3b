/** The runtime of a process: clock, network, disk, randomness and log are services (design 2.1, 2.2). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Address, Instant, WallTime } from './identifiers.js';
import type { Fault } from './fault.js';

export type Timer = Readonly<{ cancel: () => void }>;

export type Clock = Readonly<{
  now: () => Instant;
  wall: () => WallTime;
  startTimer: (milliseconds: number, action: () => void) => Timer;
  sleep: (milliseconds: number) => Promise<void>;
}>;

export type Randomness = Readonly<{
  /** A number in [0, 1). */
  fraction: () => number;
  /** An identifier nobody else has. */
  token: () => string;
}>;

/** A held connection that carries JSON messages in order, until either side closes it. */
export type Link = Readonly<{
  send: (message: unknown) => void;
  receive: () => Promise<Option.Option<unknown>>;
  /** Ends the connection after what was sent. */
  close: () => void;
  /** Ends it at once: what has not arrived yet never does. */
  reset: () => void;
}>;

/** A held connection that carries text both ways as it comes, one character for each byte; what it says is its users' own (design 2.2). */
export type Stream = Readonly<{
  write: (text: string) => void;
  /** The next piece, of whatever length; none once the other side has ended or the connection is lost. */
  read: () => Promise<Option.Option<string>>;
  /** Ends the connection after what was written. */
  close: () => void;
  /** Ends it at once, without what has not left yet: whoever listens there sees it break. */
  reset: () => void;
  closed: () => boolean;
}>;

export type HttpRequest = Readonly<{
  method: string;
  path: string;
  query: Readonly<Record<string, string>>;
  headers: Readonly<Record<string, string>>;
  body: unknown;
  connection: string;
}>;

export type HttpReply = Readonly<{
  status: number;
  headers?: Readonly<Record<string, string>>;
  body: unknown;
}>;

export type HttpRoute = Readonly<{
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Segments that begin with a colon are parameters, handed over in the query. */
  path: string;
  handle: (request: HttpRequest) => Promise<HttpReply>;
}>;

export type HttpServer = Readonly<{
  routes: readonly HttpRoute[];
  connectionClosed?: (connection: string) => void;
}>;

export type OutgoingHttpRequest = Readonly<{
  method: string;
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: unknown;
  /** No byte of the request leaves at this moment of the process's own clock or later, however long the connection took to open. */
  sendBefore?: Instant;
}>;

/**
 * One outward HTTP connection, one exchange at a time. A fault of kind `unreachable` promises that no byte of the
 * request left; `reply-lost` promises nothing.
 */
export type HttpConnection = Readonly<{
  exchange: (ask: OutgoingHttpRequest, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  close: () => void;
  closed: () => boolean;
}>;

/** `deafen`: nobody new is let in, what is open stays; `stop` ends that as well. */
export type Listener = Readonly<{ stopAccepting: () => void; stop: () => Promise<void> }>;

export type Network = Readonly<{
  listen: (address: Address, greet: (link: Link) => void) => Promise<Listener>;
  open: (address: Address) => Promise<Either.Either<Fault, Link>>;
  listenStream: (address: Address, greet: (stream: Stream) => void) => Promise<Listener>;
  /** A fault of kind `not-listening` says that the machine is there and nothing listens; `unreachable` says nothing of the kind. */
  openStream: (address: Address, milliseconds: number) => Promise<Either.Either<Fault, Stream>>;
  serve: (address: Address, server: HttpServer) => Promise<Listener>;
  connect: (address: Address) => HttpConnection;
}>;

export type Disk = Readonly<{
  /** Every key and value, as last synced, but those under a prefix that is read only when asked for. */
  load: (without: string) => Promise<Either.Either<Fault, ReadonlyMap<string, unknown>>>;
  read: (key: string) => Promise<Either.Either<Fault, Option.Option<unknown>>>;
  /** Entries under a prefix in the order of their keys, after one of them, until so many bytes are reached. */
  page: (prefix: string, after: string, bytes: number) => Promise<Either.Either<Fault, ReadonlyArray<readonly [string, unknown]>>>;
  /** What the data folder takes up, in bytes. */
  size: () => number;
  /** Right only once the value would survive the loss of power; after a left it may stand there or not. */
  put: (key: string, value: unknown) => Promise<Either.Either<Fault, null>>;
  /** How many puts this disk has taken in its life; kept with each of them, so that an old copy tells itself. */
  puts: () => number;
  /** Why this disk does not sync now; none while it does. Puts fail at once meanwhile. */
  syncFault: () => Option.Option<Fault>;
  /** Calls back at each change between a disk that syncs and one that does not. */
  onSyncFaultChange: (listener: (trouble: Option.Option<Fault>) => void) => void;
  /** Why an earlier store in this folder was given up for an empty one; none if this is the first, or if it stands. */
  discardedStoreReason: () => Option.Option<string>;
  /** Gives up what is stored and starts an empty store that knows it is not the first (design 4.3). */
  discard: (reason: string) => Promise<Either.Either<Fault, null>>;
}>;

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
export type Log = (event: string, fields?: LogFields) => void;

declare const held: unique symbol;
export type ServiceName<Service> = string & { readonly [held]: Service };

export type ServiceDirectory = Readonly<{
  register: <Service>(name: ServiceName<Service>, service: Service) => void;
  find: <Service>(name: ServiceName<Service>) => Service;
}>;

/** The versions of what processes say to each other that this build speaks (design 3.5). */
export type Protocols = Readonly<{ from: number; to: number }>;
export const supportedProtocols: Protocols = { from: 2, to: 2 };

export type Runtime = Readonly<{
  protocols: Protocols;
  clock: Clock;
  network: Network;
  disk: Option.Option<Disk>;
  randomness: Randomness;
  log: Log;
  services: ServiceDirectory;
  /** Ends this process: the last act of one that must not go on. */
  stop: (reason: Fault) => void;
}>;

function directory(): ServiceDirectory {
  const services = new Map<string, unknown>();

  function register<Service>(name: ServiceName<Service>, service: Service): void {
    services.set(name, service);
  }

  function find<Service>(name: ServiceName<Service>): Service {
    const service = services.get(name);
    if (service === undefined) throw new Error(`no service is offered under the name ${name}; offer it before it is sought`);
    return service as Service;
  }

  return { register, find };
}

function serviceName<Service>(name: string): ServiceName<Service> {
  return name as ServiceName<Service>;
}

/** Runs an action at once and then every so many milliseconds, never two at a time. */
async function every(clock: Clock, milliseconds: number, action: () => void | Promise<void>, goesOn: () => boolean): Promise<void> {
  while (goesOn()) {
    await action();
    await clock.sleep(milliseconds);
  }
}

export const runtimeUtilities = { directory, serviceName, every } as const;
