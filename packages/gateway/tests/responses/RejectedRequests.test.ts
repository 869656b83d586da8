import { Socket } from 'node:net';
import { describe } from '@jujubecroft/testing';
import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { RejectedRequests } from '../../src/responses/RejectedRequests.js';

const MANY = 300;
const ID = brand<RequestId>('r-1');

describe('RejectedRequests', ({ it }) => {
  it('allows a request on each connection but that of its rejection', t => {
    const rejected = new RejectedRequests();
    const [first, second] = [new Socket(), new Socket()];
    rejected.add(first, ID);
    t.false(rejected.allows(first, ID));
    t.true(rejected.allows(second, ID));
    t.true(rejected.allows(first, brand<RequestId>('r-2')));
  });

  // Guards against a connection whose memory of rejections grows without end, or forgets
  // the first ones.
  it('allows no request on a connection with many rejections', t => {
    const rejected = new RejectedRequests();
    const socket = new Socket();
    Array.from({ length: MANY }, (_, index) =>
      brand<RequestId>(`rejected-${index}`),
    ).forEach(id => {
      rejected.add(socket, id);
    });
    t.false(rejected.allows(socket, ID));
  });
});
