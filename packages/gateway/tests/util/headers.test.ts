import { describe } from '@jujubecroft/testing';

import { createHeaderFilter, headerValue } from '../../src/util/headers.js';

describe('createHeaderFilter', ({ it }) => {
  it('removes named and hop-by-hop headers whatever their case, and keeps the order', t => {
    const filter = createHeaderFilter(['x-own']);
    const raw = ['B', '1', 'X-Own', '2', 'Keep-Alive', '3', 'a', '4', 'b', '5'];
    t.deepEqual(filter(raw), ['B', '1', 'a', '4', 'b', '5']);
  });

  it('removes headers that a connection header lists, in any position', t => {
    const filter = createHeaderFilter([]);
    const raw = ['X-Hop', '1', 'Connection', 'close, x-hop', 'X-End', '2'];
    t.deepEqual(filter(raw), ['X-End', '2']);
  });

  // Guards against a replica that withholds a header which callers rely on.
  it('keeps end-to-end headers that a connection header lists', t => {
    const filter = createHeaderFilter([], { endToEnd: ['x-end'] });
    const raw = ['X-Hop', '1', 'Connection', 'X-Hop, X-End', 'X-End', '2'];
    t.deepEqual(filter(raw), ['X-End', '2']);
  });

  it('removes headers by name and value', t => {
    const filter = createHeaderFilter([], {
      isRemoved: (name, value) => name === 'key' && value === 'own',
    });
    t.deepEqual(filter(['Key', 'own', 'Key', 'other']), ['Key', 'other']);
  });
});

describe('headerValue', ({ it }) => {
  it('finds the first header of a name whatever its case, but no value', t => {
    const raw = ['a', 'host', 'HOST', 'one', 'Host', 'two'];
    t.is(headerValue(raw, 'host'), 'one');
    t.is(headerValue(raw, 'none'), undefined);
  });
});
