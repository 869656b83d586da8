import type { HeartbeatFacts, MemberState } from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type * as proto from './generated/peers.js';

const STATES: readonly MemberState[] = ['live', 'suspect', 'leaving', 'failed'];

/**
 * Turns heartbeat facts into their message.
 *
 * @param facts - what an instance says
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
 * Turns a heartbeat message into facts.
 *
 * @param message - as it came
 * @returns the facts; unknown states count as suspect
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
