import type {
  HeartbeatFacts,
  MemberFact,
  MemberState,
} from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type * as proto from './generated/peers.js';

/** Member states by their number in a message. */
const STATES: readonly MemberState[] = ['live', 'suspect', 'leaving', 'failed'];

/** Messages of facts, kept so that their encoded forms can be cached. */
const factMessages = new WeakMap<MemberFact, proto.MemberFact>();
/** Facts of decoded messages, of which the same ones arrive many times. */
const decodedFacts = new WeakMap<proto.MemberFact, MemberFact>();

function toFactMessage(fact: MemberFact): proto.MemberFact {
  const message = factMessages.get(fact) ?? {
    ...fact,
    state: STATES.indexOf(fact.state),
  };
  factMessages.set(fact, message);
  return message;
}

function fromFactMessage(message: proto.MemberFact): MemberFact {
  const fact = decodedFacts.get(message) ?? {
    ...message,
    instance: brand<InstanceId>(message.instance),
    failureDomain: brand<FailureDomainId>(message.failureDomain),
    state: STATES[message.state] ?? 'suspect',
  };
  decodedFacts.set(message, fact);
  return fact;
}

/**
 * Converts the state that an instance reports to a heartbeat message.
 *
 * @param facts - state of the instance and what it knows of other members
 * @returns the message
 */
export function toHeartbeatMessage(
  facts: HeartbeatFacts,
): proto.HeartbeatMessage {
  return {
    ...facts,
    facts: facts.facts.map(toFactMessage),
  };
}

/**
 * Converts a heartbeat message to the state that it reports.
 *
 * @param message - the received message
 * @returns the state; unknown member states are mapped to `suspect`
 */
export function fromHeartbeatMessage(
  message: proto.HeartbeatMessage,
): HeartbeatFacts {
  return {
    ...message,
    instance: brand<InstanceId>(message.instance),
    failureDomain: brand<FailureDomainId>(message.failureDomain),
    facts: message.facts.map(fromFactMessage),
  };
}
