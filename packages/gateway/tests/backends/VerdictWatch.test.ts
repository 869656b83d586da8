import { describe } from '@jujubecroft/testing';
import {
  createGatewayBoard,
  GatewayRouter,
  defaultGatewayPolicies,
} from '@jujubecroft/decisions';
import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  Replica,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { VerdictWatch } from '../../src/backends/VerdictWatch.js';

describe('VerdictWatch', ({ it }) => {
  it('tells once when a backend server is avoided, and once when it is trusted again', t => {
    let nowMs = 0;
    const board = createGatewayBoard({
      clock: () => nowMs,
      random: () => 0.5,
      instance: brand<InstanceId>('i'),
      failureDomain: brand<FailureDomainId>('d'),
      retryBudget: { ratio: 0.2, extra: 1, windowMs: 1000 },
    });
    const replica: Replica = {
      id: brand<BackendServerId>('s-1'),
      service: brand<ServiceId>('x'),
      address: '127.0.0.1:1',
      failureDomain: brand<FailureDomainId>('d'),
      slots: 1,
      leaving: false,
      coldMs: 0,
      bornMs: null,
    };
    board.replicas.applyRows(
      [{ id: replica.id, rowVersion: 1, replica }],
      1,
      0,
    );
    new GatewayRouter(board, defaultGatewayPolicies(board)).syncReplicas();
    const told: unknown[] = [];
    const watch = new VerdictWatch(board, {
      write: (_id, fields) => {
        told.push(fields.verdict);
      },
    });
    const health = board.backends.get(replica.id)?.health;
    watch.look();
    [1, 2, 3].forEach(() => health?.onFailure(0));
    watch.look();
    watch.look();
    nowMs = 900;
    [1, 2, 3].forEach(() => {
      health?.onSent();
      health?.onSuccess();
      watch.look();
    });
    watch.look();
    t.deepEqual(told, ['avoid', 'good']);
  });
});
