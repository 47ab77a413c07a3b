/** All kinds of calls between this system's processes, with the schemas of their requests and replies (design 3). */
import type { Static } from '@sinclair/typebox';
import { WatchRequest, WatchReply } from './change-messages.js';
import { AdoptRequest, AdoptReply, CopyRequest, CopyReply, EarlierRequest, EarlierReply } from './core-messages.js';
import { ProposeRequest, ProposeReply } from './election-messages.js';
import { FeedRequest, FeedReply, PlacementRequest, PlacementReply, TellRequest, TellReply } from './feed-messages.js';
import { LeaseRequest, LeaseReply } from './lease-messages.js';
import { SpreadRequest, SpreadReply } from './member-records.js';
import {
  BeatRequest,
  BeatReply,
  StatusRequest,
  FormRequest,
  FormReply,
  HelloRequest,
  HelloReply,
  JoinRequest,
  JoinReply,
  StatusReply,
} from './node-messages.js';
import { AcceptRequest, LookRequest, RegisterRequest, RegisterReply } from './register-messages.js';
import { NoteRequest, NoteReply, UsageLookRequest, UsageLookReply } from './usage-reports.js';

export const messages = {
  hello: { request: HelloRequest, reply: HelloReply },
  form: { request: FormRequest, reply: FormReply },
  copy: { request: CopyRequest, reply: CopyReply },
  join: { request: JoinRequest, reply: JoinReply },
  beat: { request: BeatRequest, reply: BeatReply },
  propose: { request: ProposeRequest, reply: ProposeReply },
  prepare: { request: RegisterRequest, reply: RegisterReply },
  accept: { request: AcceptRequest, reply: RegisterReply },
  look: { request: LookRequest, reply: RegisterReply },
  adopt: { request: AdoptRequest, reply: AdoptReply },
  watch: { request: WatchRequest, reply: WatchReply },
  note: { request: NoteRequest, reply: NoteReply },
  earlier: { request: EarlierRequest, reply: EarlierReply },
  usageLook: { request: UsageLookRequest, reply: UsageLookReply },
  tell: { request: TellRequest, reply: TellReply },
  status: { request: StatusRequest, reply: StatusReply },
  feed: { request: FeedRequest, reply: FeedReply },
  spread: { request: SpreadRequest, reply: SpreadReply },
  lease: { request: LeaseRequest, reply: LeaseReply },
  placement: { request: PlacementRequest, reply: PlacementReply },
} as const;

export type MessageKind = keyof typeof messages;

export type Request<Kind extends MessageKind> = Readonly<Static<(typeof messages)[Kind]['request']>>;

export type Reply<Kind extends MessageKind> = Readonly<Static<(typeof messages)[Kind]['reply']>>;

export function isKind(kind: string): kind is MessageKind {
  return Object.hasOwn(messages, kind);
}
