import { BinaryWriter } from '@bufbuild/protobuf/wire';
import fc from 'fast-check';
import {
  decodeState,
  encodeState,
  GatewayState,
  HeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

const member = fc.record({
  instance: fc.string({ maxLength: 12 }).map(brand<InstanceId>),
  incarnation: fc.nat(),
  state: fc.constantFrom('live', 'suspect', 'leaving', 'failed'),
  failureDomain: fc.string({ maxLength: 4 }).map(brand<FailureDomainId>),
  callerAddress: fc.string({ maxLength: 20 }),
  peerAddress: fc.string({ maxLength: 20 }),
});

const heartbeat = fc.record({
  instance: fc.string({ unit: 'binary' }).map(brand<InstanceId>),
  failureDomain: fc.string({ maxLength: 4 }).map(brand<FailureDomainId>),
  callerAddress: fc.string(),
  peerAddress: fc.string(),
  incarnation: fc.nat(),
  leaving: fc.boolean(),
  revision: fc.nat(),
  inFlight: fc.nat(),
  facts: fc.array(member, { maxLength: 12 }),
});

const message = fc
  .record({
    heartbeat: fc.option(heartbeat.map(toHeartbeatMessage), {
      nil: undefined,
    }),
    configurationVersion: fc.nat(),
    question: fc.nat(),
    viewOnly: fc.boolean(),
    storeMs: fc.double({ noNaN: true }),
  })
  .map((fields): proto.GatewayState => ({
    ...GatewayState.decode(new Uint8Array(0)),
    ...fields,
  }));

/** Decodes bytes that may be no message, which then throws an error. */
function tryDecode(bytes: Uint8Array): void {
  try {
    decodeState(bytes);
  } catch (err) {
    if (!(err instanceof Error)) {
      throw err;
    }
  }
}

describe('stateBytes', ({ it }) => {
  // Guards against messages that instances of an earlier version don't understand.
  it('encodes a message as the generated code does, also repeatedly', t => {
    fc.assert(
      fc.property(message, state => {
        const expected = GatewayState.encode(state).finish();
        t.deepEqual(encodeState(state), expected);
        t.deepEqual(encodeState(state), expected);
      }),
    );
  });

  // Guards against facts that are taken for others when their decoded forms are kept,
  // also after a damaged message.
  it('decodes a message as the generated code does, also after a damaged one', t => {
    fc.assert(
      fc.property(
        message,
        fc.nat(),
        fc.integer({ min: 0, max: 255 }),
        (state, place, value) => {
          const bytes = GatewayState.encode(state).finish();
          const damaged = Uint8Array.from(bytes);
          damaged[place % Math.max(1, bytes.length)] = value;
          tryDecode(damaged);
          const expected = GatewayState.decode(bytes);
          t.deepEqual(decodeState(bytes), expected);
          t.deepEqual(decodeState(bytes), expected);
        },
      ),
      { numRuns: 500 },
    );
  });

  // A later version may add fields, also between the facts.
  it('decodes heartbeats with unknown fields at any place', t => {
    fc.assert(
      fc.property(heartbeat, fc.nat({ max: 12 }), (known, place) => {
        const { facts } = toHeartbeatMessage(known);
        const unknownField = Buffer.from([0xa0, 0x06, 0x07]);
        const parts = facts.map(fact =>
          HeartbeatMessage.encode({
            ...HeartbeatMessage.decode(new Uint8Array(0)),
            facts: [fact],
          }).finish(),
        );
        const content = Buffer.concat([
          HeartbeatMessage.encode({
            ...toHeartbeatMessage(known),
            facts: [],
          }).finish(),
          ...parts.slice(0, place),
          unknownField,
          ...parts.slice(place),
        ]);
        const bytes = new BinaryWriter()
          .uint32(10)
          .bytes(content)
          .raw(unknownField)
          .finish();
        t.deepEqual(decodeState(bytes), GatewayState.decode(bytes));
        t.is(decodeState(bytes).heartbeat?.facts.length, facts.length);
      }),
    );
  });
});
