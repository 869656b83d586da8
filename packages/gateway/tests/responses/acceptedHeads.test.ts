import '../helpers/lenientRuntime.js';

import { describe } from '@jujubecroft/testing';

import {
  acceptedHeads,
  MALFORMED_HEADS,
} from '../../src/responses/acceptedHeads.js';

describe('the heads that the HTTP parser of a runtime accepts', ({ it }) => {
  // Guards against a lenient parser of which no operator learns.
  it('include each malformed one if the parser is lenient', async t => {
    t.deepEqual(
      await acceptedHeads(MALFORMED_HEADS),
      Object.keys(MALFORMED_HEADS),
    );
  });

  // Guards against a warning whatever the parser does.
  it('include no others than those that it takes for a response', async t => {
    const heads = {
      sound: 'HTTP/1.1 200 OK\r\nX-Other: 6\r\n\r\n',
      otherProtocol: 'HTTQ/1.1 200 OK\r\nX-Other: 6\r\n\r\n',
      unfinished: 'HTTP/1.1 200 OK\r\nX-Other: 6\r\n',
      nothing: '',
    };
    t.deepEqual(await acceptedHeads(heads), ['sound']);
  });
});
