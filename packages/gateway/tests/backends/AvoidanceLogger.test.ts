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

import { AvoidanceLogger } from '../../src/backends/AvoidanceLogger.js';

describe('AvoidanceLogger', ({ it }) => {
  it('logs once when a backend server becomes avoided and once when it is used again', t => {
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
      softwareVersion: null,
      bornMs: null,
    };
    board.replicas.applyRows(
      [{ id: replica.id, rowVersion: 1, replica }],
      1,
      0,
    );
    new GatewayRouter(board, defaultGatewayPolicies(board)).syncReplicas();
    const verdicts: unknown[] = [];
    const logger = new AvoidanceLogger(board, {
      write: (_id, fields) => {
        verdicts.push(fields.verdict);
      },
    });
    const health = board.backends.get(replica.id)?.health;
    logger.logChanges();
    [1, 2, 3].forEach(() => health?.onFailure(0));
    logger.logChanges();
    logger.logChanges();
    nowMs = 900;
    [1, 2, 3].forEach(() => {
      health?.onSent();
      health?.onSuccess();
      logger.logChanges();
    });
    logger.logChanges();
    t.deepEqual(verdicts, ['avoid', 'good']);
  });
});
