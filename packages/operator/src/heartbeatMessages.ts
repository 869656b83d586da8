import type { HeartbeatFacts, MemberState } from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type * as proto from './generated/peers.js';

/** Member states by their number in a message. */
const STATES: readonly MemberState[] = ['live', 'suspect', 'leaving', 'failed'];

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
    facts: facts.facts.map(fact => ({
      ...fact,
      state: STATES.indexOf(fact.state),
    })),
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
    facts: message.facts.map(fact => ({
      ...fact,
      instance: brand<InstanceId>(fact.instance),
      failureDomain: brand<FailureDomainId>(fact.failureDomain),
      state: STATES[fact.state] ?? 'suspect',
    })),
  };
}
