import { describe } from '@jujubecroft/testing';
import { GatewayState } from '@jujubecroft/operator/peers';
import type {
  BackendServerId,
  OrganisationId,
  RouteId,
  ServiceId,
  SoftwareVersion,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { NO_CONFIGURATION } from '../../src/state/configurationMessage.js';
import { toCrashFields } from '../../src/state/crashMessage.js';
import { toDutyFields } from '../../src/state/dutyMessage.js';
import {
  fromReplicaFields,
  toPeerUpdate,
  toDemands,
  toStoreTime,
  toReplicaFields,
  toUses,
} from '../../src/state/gatewayState.js';
import { NO_WORK_FIELDS, toWorkFields } from '../../src/state/workMessage.js';

const id = brand<BackendServerId>('s-1');
const route = brand<RouteId>('r');

describe('gatewayState', ({ it }) => {
  it('encodes fractional estimates, rounded where the message holds integers', t => {
    // Expected cache hits make the number of unread tokens a fraction. If the message
    // could not be encoded, no state would be exchanged under load: instances would
    // suspect each other and place prompts without knowing the load of others.
    const message = GatewayState.encode({
      heartbeat: undefined,
      configurationVersion: 3,
      storeMs: toStoreTime(Infinity),
      configurationAsOfMs: toStoreTime(-Infinity),
      uses: toUses([
        {
          id,
          bornMs: 1_764_000_000_123,
          inFlight: 2,
          unreadByRank: [0, 5888.5, 88.25],
        },
      ]),
      reports: [],
      demands: toDemands([{ route, tokensPerS: 10.25, inFlight: 2 }], () => ({
        route,
        pieces: 4.5,
        answers: 7,
      })),
      ...NO_CONFIGURATION,
      ...toCrashFields({ crashes: [], cleared: [], asked: [], served: [] }),
      limits: [],
      speeds: [],
      lostPaths: 0,
      streams: undefined,
      ...toDutyFields(null, false),
      ...NO_WORK_FIELDS,
      replicasChangedAt: 4,
      ...toReplicaFields({
        version: 9,
        asOfMs: -Infinity,
        complete: true,
        from: 0,
        records: [],
      }),
      question: 1,
      answerTo: 0,
      viewOnly: false,
    });
    const work = toPeerUpdate(GatewayState.decode(message.finish()));
    t.deepEqual(work.uses[0]?.unreadByRank, [0, 5889, 88]);
    t.is(work.uses[0]?.bornMs, 1_764_000_000_123);
    t.is(work.demands[0]?.tokensPerS, 10.25);
    t.deepEqual(work.lengths, [{ route, pieces: 4.5, answers: 7 }]);
  });

  it('limits the work of many organisations to the largest, so that it fits into a datagram', t => {
    const organisations = Array.from({ length: 400 }, (_, index) => ({
      organisation: brand<OrganisationId>(`organisation-${index}`),
      workPerS: index,
    }));
    const groups = Array.from({ length: 12 }, (_, priority) => ({
      service: brand<ServiceId>('s'),
      priority,
      onTimePerS: 1,
      shortAgeMs: 0,
      organisations,
    }));
    const { work } = toWorkFields({ asOfMs: 1, groups });
    t.is(work.length, 12);
    t.is(work[0]?.workPerS[0], 399);
    t.true(work.flatMap(({ workPerS }) => workPerS).length <= 200);
  });

  // Messages of older instances have no work; an empty report must not replace
  // the one in force.
  it('carries the work of organisations, and none where there is none', t => {
    const report = {
      asOfMs: 1_764_000_000_123,
      groups: [
        {
          service: brand<ServiceId>('x'),
          priority: 2,
          onTimePerS: 1024,
          shortAgeMs: Infinity,
          organisations: [
            { organisation: brand<OrganisationId>('o'), workPerS: 12.5 },
          ],
        },
      ],
    };
    const encode = (fields: Partial<GatewayState>): Uint8Array =>
      GatewayState.encode(GatewayState.fromPartial(fields)).finish();
    const carried = toPeerUpdate(
      GatewayState.decode(encode(toWorkFields(report))),
    );
    t.deepEqual(carried.work, {
      ...report,
      groups: [{ ...report.groups[0], shortAgeMs: 60_000 }],
    });
    const empty = encode(toWorkFields({ asOfMs: 5, groups: [] }));
    t.is(empty.length, 0);
    t.is(toPeerUpdate(GatewayState.decode(empty)).work, undefined);
    t.is(encode(toWorkFields(null)).length, 0);
  });

  it('encodes and decodes existing, removed and lapsed replica entries', t => {
    const replica = {
      id,
      service: 'x' as never,
      address: '10.0.0.1:80',
      failureDomain: 'd' as never,
      slots: 4,
      leaving: true,
      coldMs: 12.5,
      softwareVersion: brand<SoftwareVersion>('v1.2'),
      bornMs: 1_764_000_000_123,
    };
    const { bornMs } = replica;
    const changes = {
      version: 9,
      asOfMs: 4000.5,
      complete: false,
      from: 6,
      records: [
        { id, replica, bornMs, rowVersion: 8, changedAt: 7, goneAtMs: null },
        {
          id,
          replica: null,
          bornMs: null,
          rowVersion: 9,
          changedAt: 9,
          goneAtMs: 100,
        },
        { id, replica, bornMs, rowVersion: 9, changedAt: 9, goneAtMs: 1500 },
      ],
    };
    const fields = toReplicaFields(changes);
    const decoded = fromReplicaFields(GatewayState.fromPartial(fields));
    t.deepEqual(decoded.records[0], changes.records[0]);
    t.is(decoded.records[1]?.replica, null);
    t.is(decoded.records[2]?.goneAtMs, 1500);
    t.is(decoded.asOfMs, 4000.5);
  });
});
