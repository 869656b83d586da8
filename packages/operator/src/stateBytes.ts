import { BinaryReader, BinaryWriter } from '@bufbuild/protobuf/wire';

import {
  GatewayState,
  HeartbeatMessage,
  MemberFact,
} from './generated/peers.js';

/** Tag of `GatewayState.heartbeat`. */
const HEARTBEAT_TAG = 10;
/** Tag of `HeartbeatMessage.facts`. */
const FACT_TAG = 74;
/** Maximum number of decoded facts that are kept; then all are dropped. */
const MAX_KNOWN_FACTS = 2048;

/** Encoded form of each fact, with its length. */
const encodedFacts = new WeakMap<MemberFact, Uint8Array>();
/** Decoded facts by their bytes. */
const knownFacts = new Map<string, MemberFact>();

function encodedFact(fact: MemberFact): Uint8Array {
  const known = encodedFacts.get(fact);
  if (known) {
    return known;
  }
  const writer = new BinaryWriter();
  const bytes = MemberFact.encode(fact, writer.fork()).join().finish();
  encodedFacts.set(fact, bytes);
  return bytes;
}

/**
 * Encodes a message between instances, as `GatewayState.encode` does.
 *
 * Facts about members make up most of a message, and each is sent many times. The
 * encoded form of a fact is kept as long as the fact object.
 *
 * @param state - the message; its facts are not changed afterwards
 * @returns the bytes
 */
export function encodeState(state: GatewayState): Uint8Array {
  const writer = new BinaryWriter();
  const { heartbeat } = state;
  if (heartbeat) {
    const { facts } = heartbeat;
    HeartbeatMessage.encode(
      { ...heartbeat, facts: [] },
      writer.uint32(HEARTBEAT_TAG).fork(),
    );
    facts.forEach(fact => {
      writer.uint32(FACT_TAG).raw(encodedFact(fact));
    });
    writer.join();
  }
  return GatewayState.encode(
    { ...state, heartbeat: undefined },
    writer,
  ).finish();
}

function decodeFact(bytes: Uint8Array, start: number, end: number): MemberFact {
  const { buffer, byteOffset } = bytes;
  const key = Buffer.from(buffer, byteOffset, bytes.length).toString(
    'latin1',
    start,
    end,
  );
  const known = knownFacts.get(key);
  if (known) {
    return known;
  }
  const fact = MemberFact.decode(bytes.subarray(start, end));
  if (knownFacts.size >= MAX_KNOWN_FACTS) {
    knownFacts.clear();
  }
  knownFacts.set(key, fact);
  return fact;
}

/**
 * Decodes a heartbeat whose facts are its last fields.
 *
 * @returns the heartbeat; null if other fields follow the facts, or the bytes are damaged
 */
function decodeHeartbeat(
  bytes: Uint8Array,
  start: number,
  end: number,
): HeartbeatMessage | null {
  const reader = new BinaryReader(bytes);
  reader.pos = start;
  const facts: MemberFact[] = [];
  let factsFrom = end;
  while (reader.pos < end) {
    const fieldStart = reader.pos;
    if (bytes[fieldStart] === FACT_TAG) {
      factsFrom = Math.min(factsFrom, fieldStart);
      reader.pos += 1;
      const length = reader.uint32();
      const factStart = reader.pos;
      reader.pos = factStart + length;
      if (reader.pos > end) {
        return null;
      }
      facts.push(decodeFact(bytes, factStart, reader.pos));
    } else if (facts.length > 0) {
      return null;
    } else {
      const [field, wireType] = reader.tag();
      reader.skip(wireType, field);
    }
  }
  const head = HeartbeatMessage.decode(bytes.subarray(start, factsFrom));
  return { ...head, facts };
}

/**
 * Decodes a message between instances, as `GatewayState.decode` does.
 *
 * The same facts about members arrive many times; equal ones are decoded once, and are
 * the same object in all messages.
 *
 * @param bytes - the received bytes
 * @returns the message
 * @throws Error if the bytes are no such message
 */
export function decodeState(bytes: Uint8Array): GatewayState {
  if (bytes[0] !== HEARTBEAT_TAG) {
    return GatewayState.decode(bytes);
  }
  const reader = new BinaryReader(bytes);
  reader.uint32();
  const length = reader.uint32();
  const start = reader.pos;
  const end = start + length;
  const heartbeat =
    end <= bytes.length ? decodeHeartbeat(bytes, start, end) : null;
  if (!heartbeat) {
    return GatewayState.decode(bytes);
  }
  const rest = GatewayState.decode(bytes.subarray(end));
  // As in protobuf, a later field of the same number replaces an earlier one.
  return { ...rest, heartbeat: rest.heartbeat ?? heartbeat };
}
