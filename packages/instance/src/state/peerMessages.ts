import type { HeartbeatFacts, MemberState } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

const STATES: readonly MemberState[] = ['live', 'suspect', 'leaving', 'failed'];

/** Turns heartbeat facts into their message. */
export function toHeartbeatMessage(
  facts: HeartbeatFacts,
): proto.HeartbeatMessage {
  return {
    ...facts,
    facts: facts.facts.map(({ instance, incarnation, state }) => ({
      instance,
      incarnation,
      state: STATES.indexOf(state),
    })),
  };
}

/** Turns a heartbeat message into facts. */
export function fromHeartbeatMessage(
  message: proto.HeartbeatMessage,
): HeartbeatFacts {
  return {
    ...message,
    instance: brand<InstanceId>(message.instance),
    failureDomain: brand<FailureDomainId>(message.failureDomain),
    facts: message.facts.map(({ instance, incarnation, state }) => ({
      instance: brand<InstanceId>(instance),
      incarnation,
      state: STATES[state] ?? 'suspect',
    })),
  };
}
