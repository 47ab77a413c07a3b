/** The runtime of a process: its clock, network, disk, randomness and log, passed in as services (design 2.1, 2.2). */
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
  /** A unique random identifier. */
  token: () => string;
}>;

/** A persistent connection that carries JSON messages in order until either side closes it. */
export type Link = Readonly<{
  send: (message: unknown) => void;
  receive: () => Promise<Option.Option<unknown>>;
  /** Closes the connection after all messages sent so far have been delivered. */
  close: () => void;
  /** Resets the connection at once; messages still in transit are lost. */
  reset: () => void;
}>;

/** A persistent two-way byte stream, as text with one character for each byte; the protocol on it is up to its users (design 2.2). */
export type Stream = Readonly<{
  write: (text: string) => void;
  /** The next chunk, of any length; none once the other side has closed the stream or the connection is lost. */
  read: () => Promise<Option.Option<string>>;
  /** Closes the connection after everything written so far has been sent. */
  close: () => void;
  /** Resets the connection at once and drops unsent data; the other side sees a connection error. */
  reset: () => void;
  closed: () => boolean;
  /** Whether everything written so far has been handed to the host's network; a process that ends before loses the rest. */
  isFlushed: () => boolean;
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
  /** Segments that begin with a colon are parameters; their values are passed to the handler in the query. */
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
  /** No byte of the request is sent at or after this time on the process's own clock, however long the connection takes to open. */
  sendBefore?: Instant;
}>;

/**
 * One outgoing HTTP connection, with one exchange at a time. A fault of kind `unreachable` guarantees that no byte of the request was sent;
 * `reply-lost` guarantees nothing.
 */
export type HttpConnection = Readonly<{
  exchange: (request: OutgoingHttpRequest, timeoutMilliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  close: () => void;
  closed: () => boolean;
}>;

/** A listening socket. `stopAccepting` refuses new connections and keeps open ones; `stop` closes those as well. */
export type Listener = Readonly<{ stopAccepting: () => void; stop: () => Promise<void> }>;

export type Network = Readonly<{
  listen: (address: Address, onConnect: (link: Link) => void) => Promise<Listener>;
  open: (address: Address) => Promise<Either.Either<Fault, Link>>;
  listenStream: (address: Address, onConnect: (stream: Stream) => void) => Promise<Listener>;
  /** A fault of kind `not-listening` means that the machine replied and no process listens on the port; `unreachable` does not tell which. */
  openStream: (address: Address, timeoutMilliseconds: number) => Promise<Either.Either<Fault, Stream>>;
  serve: (address: Address, server: HttpServer) => Promise<Listener>;
  connect: (address: Address) => HttpConnection;
}>;

export type Disk = Readonly<{
  /** All entries as last synced, except those under the given prefix, which are read on demand only. */
  load: (excludedPrefix: string) => Promise<Either.Either<Fault, ReadonlyMap<string, unknown>>>;
  read: (key: string) => Promise<Either.Either<Fault, Option.Option<unknown>>>;
  /** The entries under a prefix in key order, starting after the given key, up to about the given number of bytes. */
  page: (prefix: string, after: string, maxBytes: number) => Promise<Either.Either<Fault, ReadonlyArray<readonly [string, unknown]>>>;
  /** The size of the data folder in bytes. */
  size: () => number;
  /** Returns right only once the value would survive a power loss; after a left the value may or may not have been stored. */
  put: (key: string, value: unknown) => Promise<Either.Either<Fault, null>>;
  /** How many puts this disk has stored since it was created. The count is stored with each put, so that an outdated copy can be recognized. */
  puts: () => number;
  /** Why this disk currently does not sync; none while it does. Puts fail at once until it syncs again. */
  syncFault: () => Option.Option<Fault>;
  /** Calls the listener whenever the disk stops or resumes syncing. */
  onSyncFaultChange: (listener: (syncFault: Option.Option<Fault>) => void) => void;
  /** Why an earlier store in this folder was replaced by an empty one; none if no store was ever discarded. */
  discardedStoreReason: () => Option.Option<string>;
  /** Discards the stored data and starts an empty store, which records that it replaced an earlier one (design 4.3). */
  discard: (reason: string) => Promise<Either.Either<Fault, null>>;
}>;

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
export type Log = (event: string, fields?: LogFields) => void;

declare const serviceType: unique symbol;
export type ServiceName<Service> = string & { readonly [serviceType]: Service };

export type ServiceDirectory = Readonly<{
  register: <Service>(name: ServiceName<Service>, service: Service) => void;
  find: <Service>(name: ServiceName<Service>) => Service;
}>;

/** The range of versions of the protocol between processes that this build supports (design 3.5). */
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
  /** Ends this process, for a fault after which it must not continue. */
  stop: (reason: Fault) => void;
}>;

function directory(): ServiceDirectory {
  const services = new Map<string, unknown>();

  function register<Service>(name: ServiceName<Service>, service: Service): void {
    services.set(name, service);
  }

  function find<Service>(name: ServiceName<Service>): Service {
    const service = services.get(name);
    if (service === undefined) throw new Error(`no service is registered under the name ${name}; register it before looking it up`);
    return service as Service;
  }

  return { register, find };
}

function serviceName<Service>(name: string): ServiceName<Service> {
  return name as ServiceName<Service>;
}

/** Runs an action at once and then repeatedly, with the given pause between runs; runs never overlap. */
async function every(clock: Clock, milliseconds: number, action: () => void | Promise<void>, shouldContinue: () => boolean): Promise<void> {
  while (shouldContinue()) {
    await action();
    await clock.sleep(milliseconds);
  }
}

export const runtimeUtilities = { directory, serviceName, every } as const;
