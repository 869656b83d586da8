import { describe } from '@jujubecroft/testing';
import type { OrganisationId, RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { ClassQueue } from '../../src/blackboard/ClassQueue.js';
import type { RequestRecord } from '../../src/blackboard/RoutedRequest.js';
import { requestClass, RouterFixture } from '../helpers/RouterFixture.js';

/** Creates a record through the router, so that the test does not duplicate its shape. */
function recordOf(
  organisation: string,
  tokens: number,
  weight = 1,
): RequestRecord {
  const fixture = new RouterFixture();
  const id = fixture.submit('gold', {
    organisation: brand<OrganisationId>(organisation),
  });
  const record = fixture.router.board.requests.get(id);
  if (!record) {
    throw new Error('the request was not accepted');
  }
  return {
    ...record,
    request: { ...record.request, id: brand<RequestId>(organisation) },
    state: 'queued',
    attempts: 0,
    expectedTokens: tokens,
    weight,
  };
}

const served = (queue: ClassQueue, count: number): string[] =>
  Array.from({ length: count }, () => String(queue.shift()?.request.id));

describe('ClassQueue', ({ it }) => {
  // Guards against FIFO order between organisations: one request would wait behind the
  // whole burst that another organisation sent just before.
  it('does not delay other organisations by a burst of one', t => {
    const queue = new ClassQueue(requestClass('gold', 1));
    Array.from({ length: 40 }, () => recordOf('hotel', 100)).forEach(record => {
      queue.push(record);
    });
    queue.push(recordOf('bakery', 100));
    t.true(served(queue, 2).includes('bakery'));
  });

  it('serves organisations in proportion to their weights', t => {
    const queue = new ClassQueue(requestClass('gold', 1));
    Array.from({ length: 30 }, () => recordOf('heavy', 10, 2)).forEach(r => {
      queue.push(r);
    });
    Array.from({ length: 30 }, () => recordOf('light', 10, 1)).forEach(r => {
      queue.push(r);
    });
    const heavy = served(queue, 30).filter(name => name === 'heavy').length;
    t.is(heavy, 20);
  });

  it('skips requests that ended while queued', t => {
    const queue = new ClassQueue(requestClass('gold', 1));
    const ended = recordOf('a', 10);
    queue.push(ended);
    queue.push(recordOf('b', 10));
    ended.state = 'ended';
    queue.release(ended);
    t.is(queue.length, 1);
    t.deepEqual(served(queue, 1), ['b']);
    t.is(queue.queuedTokens, 0);
    t.is(queue.shift(), undefined);
  });

  it('predicts a wait by fair share for an organisation without queued requests', t => {
    const queue = new ClassQueue(requestClass('gold', 1));
    Array.from({ length: 50 }, () => recordOf('hotel', 100)).forEach(r => {
      queue.push(r);
    });
    const hotel = queue.tokensAhead(brand<OrganisationId>('hotel'), 1, 100);
    const bakery = queue.tokensAhead(brand<OrganisationId>('bakery'), 1, 100);
    t.is(hotel, 5000);
    t.is(bakery, 200);
  });
});
