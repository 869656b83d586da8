import type { KnownOrigin, Member } from '@jujubecroft/decisions';
import { keepersOf } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { InstanceId, ServiceId, StreamKey } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { OriginReply } from './originMessage.js';
import { toHashBytes } from '../util/shortHash.js';
import { fromAnswer } from './originMessage.js';
import type { SendStreamMessage } from './OriginPublisher.js';

/** The origin of a stream, with the instance that knew it. */
export interface FoundOrigin extends KnownOrigin {
  readonly knownFrom: string;
}

/**
 * Number of instances asked at first: the keepers, and some that would be keepers if a
 * few members were unknown to the instance that began the stream.
 */
const FIRST_ROUND = 6;
/** Number of further instances that are asked then. */
const SECOND_ROUND = 8;
/** Time after which the second round begins without all answers, in milliseconds. */
const SECOND_ROUND_AFTER_MS = 80;
/** Time after which a stream counts as unknown, in milliseconds. */
const TIMEOUT_MS = 350;

/** The result of asking other instances. */
export interface LookupResult {
  /** Null if none of them knows, or none answers in time. */
  readonly found: FoundOrigin | null;
  /** Number of instances that were asked, and that answered. */
  readonly asked: number;
  readonly answered: number;
}

/** Handles the answer to a question, given its number. */
type ReplyListener = (number: number, reply: OriginReply) => void;

/** Asks other instances where a stream began. */
export class OriginLookup {
  /** Questions that may still be answered, by number. */
  readonly #open = new Map<number, ReplyListener>();
  #lastNumber = 0;

  /**
   * @param context - members and timers
   * @param send - sends a message to another instance
   * @param onReply - called with what each answer says about the service
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'membership' | 'metrics' | 'timers'
    >,
    private readonly send: SendStreamMessage,
    private readonly onReply: (service: ServiceId, reply: OriginReply) => void,
  ) {}

  /**
   * Asks the keepers of a stream, and then some other instances.
   *
   * @param key - key of the stream
   * @param service - service that the request is for
   * @returns what they know
   */
  async find(key: StreamKey, service: ServiceId): Promise<LookupResult> {
    const members = keepersOf(key, this.context.membership.serving);
    const first = members.slice(0, FIRST_ROUND);
    const second = members.slice(FIRST_ROUND, FIRST_ROUND + SECOND_ROUND);
    if (first.length === 0) {
      return { found: null, asked: 0, answered: 0 };
    }
    const { timers } = this.context;
    return new Promise(resolve => {
      const asked = new Map<number, Member>();
      const unanswered = new Set<number>();
      const answered = new Set<InstanceId>();
      let isSecondRound = false;
      const ask = (some: readonly Member[]): void => {
        some.forEach(member => {
          const number = this.#nextNumber();
          asked.set(number, member);
          unanswered.add(number);
          this.#open.set(number, onReply);
          this.#ask(number, key, service, member);
        });
      };
      const finish = (found: FoundOrigin | null): void => {
        cancelRound();
        cancelTimeout();
        asked.forEach((_, number) => this.#open.delete(number));
        const instances = new Set([...asked.values()].map(({ id }) => id));
        resolve({ found, asked: instances.size, answered: answered.size });
      };
      const beginSecondRound = (): void => {
        if (isSecondRound) {
          return;
        }
        isSecondRound = true;
        // A question or its answer may have been lost.
        const silent = [...unanswered].flatMap(
          number => asked.get(number) ?? [],
        );
        unanswered.clear();
        ask([...silent, ...second]);
      };
      const onReply = (number: number, reply: OriginReply): void => {
        unanswered.delete(number);
        this.onReply(service, reply);
        const member = asked.get(number);
        if (member) {
          answered.add(member.id);
        }
        if (reply.origin) {
          finish({ ...reply.origin, knownFrom: member?.id ?? '' });
          return;
        }
        if (unanswered.size === 0) {
          if (isSecondRound || second.length === 0) {
            finish(null);
          } else {
            beginSecondRound();
          }
        }
      };
      const cancelRound = timers.after(SECOND_ROUND_AFTER_MS, beginSecondRound);
      const cancelTimeout = timers.after(TIMEOUT_MS, () => {
        finish(null);
      });
      ask(first);
    });
  }

  /** Handles an answer of another instance. */
  onAnswer(answer: proto.OriginAnswer): void {
    this.#open.get(answer.number)?.(answer.number, fromAnswer(answer));
  }

  #nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  #ask(
    number: number,
    key: StreamKey,
    service: ServiceId,
    { peerAddress }: Member,
  ): void {
    this.context.metrics.peerMessages.inc({ kind: 'originQuestion' });
    this.send(
      {
        question: {
          number,
          key: toHashBytes([key]),
          service,
        },
      },
      peerAddress,
    );
  }
}
