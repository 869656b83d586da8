import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { HeadGrammar } from '../../src/responses/HeadGrammar.js';

const SEED = 95;
const RUNS = 3000;
const TOKEN_CHARACTERS = Array.from(
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz",
);
const BYTE_VALUES = 256;
const FIRST_PRINTABLE = 0x20;
const DEL = 0x7f;
const bytes = Array.from({ length: BYTE_VALUES }, (_, byte) =>
  String.fromCharCode(byte),
);
const textBytes = bytes.filter(
  (byte, index) => byte === '\t' || (index >= FIRST_PRINTABLE && index !== DEL),
);
const noTokenBytes = bytes.filter(byte => !TOKEN_CHARACTERS.includes(byte));

const name = fc.string({
  unit: fc.constantFrom(...TOKEN_CHARACTERS),
  minLength: 1,
});
const value = fc.string({ unit: fc.constantFrom(...textBytes) });
const line = fc.tuple(name, value);
const lines = fc.array(line, { maxLength: 6 });

/** A head by its parts. */
interface Head {
  readonly status: number;
  /** Reason phrase; null without the blank before it. */
  readonly reason: string | null;
  readonly lines: readonly (readonly [string, string])[];
}

const headWith = (status: fc.Arbitrary<number>): fc.Arbitrary<Head> =>
  fc.record({ status, reason: fc.option(value), lines });
const finalHead = headWith(fc.integer({ min: 200, max: 599 }));
const interimHead = headWith(fc.constantFrom(100, 102, 103, 199));

const lineText = ([field, text]: readonly [string, string]): string =>
  `${field}:${text}\r\n`;

function headText({ status, reason, lines: fields }: Head): string {
  const phrase = reason === null ? '' : ` ${reason}`;
  return `HTTP/1.1 ${status}${phrase}\r\n${fields.map(lineText).join('')}\r\n`;
}

/** Whether a grammar accepts a text that arrives in reads of the given sizes. */
function accepts(
  grammar: HeadGrammar,
  text: string,
  sizes: readonly number[] = [],
): boolean {
  let rest = Buffer.from(text, 'latin1');
  const reads = sizes.map(size => {
    const read = rest.subarray(0, size);
    rest = rest.subarray(size);
    return read;
  });
  return [...reads, rest].every(read => grammar.accepts(read));
}

const isComplete = (text: string): boolean => {
  const grammar = new HeadGrammar();
  return accepts(grammar, text) && grammar.isComplete;
};

const HEAD = 'HTTP/1.1 200 OK\r\nX-First: 6\r\n';

describe('the grammar of heads', ({ it, describe: group }) => {
  // Guards against sound answers that are refused, and heads whose end is missed.
  it('accepts whatever RFC 9112 allows, split anywhere, up to the body', t => {
    fc.assert(
      fc.property(
        fc.array(interimHead, { maxLength: 2 }),
        finalHead,
        fc.array(fc.integer({ min: 1, max: 40 })),
        value,
        (interim, final, sizes, body) => {
          const grammar = new HeadGrammar();
          const heads = [...interim, final].map(headText).join('');
          t.true(accepts(grammar, heads.slice(0, -1), sizes));
          t.false(grammar.isComplete);
          t.true(accepts(grammar, `\n\0\r${body}`));
          t.true(grammar.isComplete);
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });

  // Guards against a malformed name that is taken for a header, or for the end of the head.
  it('refuses a name with any byte that no token has, wherever it stands', t => {
    fc.assert(
      fc.property(
        finalHead,
        line,
        fc.nat(),
        fc.nat(),
        fc.constantFrom(...noTokenBytes.filter(byte => byte !== ':')),
        fc.array(fc.integer({ min: 1, max: 40 })),
        (head, [field, text], at, index, byte, sizes) => {
          const cut = at % (field.length + 1);
          const spoilt = field.slice(0, cut) + byte + field.slice(cut);
          const position = index % (head.lines.length + 1);
          const malformed = headText({
            ...head,
            lines: [
              ...head.lines.slice(0, position),
              [spoilt, text],
              ...head.lines.slice(position),
            ],
          });
          t.false(accepts(new HeadGrammar(), malformed, sizes));
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });

  group('refuses', ({ it: refuses }) => {
    Object.entries({
      'a line without a colon': `${HEAD}X-Other\r\n\r\n`,
      'a line without a name': `${HEAD}: 6\r\n\r\n`,
      'a line that continues another one': `${HEAD} more\r\n\r\n`,
      'a line that ends with a line feed alone': `${HEAD}X-Other: 6\n\r\n`,
      'a line that ends with a carriage return alone': `${HEAD}X-Other: 6\r\r\n`,
      'a head that ends with a line feed alone': `${HEAD}\n`,
      'a zero byte in a value': `${HEAD}X-Other: \0\r\n\r\n`,
      'a status line of another protocol': 'HTTQ/1.1 200 OK\r\n\r\n',
      'a status of two digits': 'HTTP/1.1 20 OK\r\n\r\n',
      'a status of four digits': 'HTTP/1.1 2000 OK\r\n\r\n',
      'a malformed name in the head of an interim response':
        'HTTP/1.1 103 Early Hints\r\nX Other: 6\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
      'a malformed name after the head of an interim response':
        'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Other: 6\r\n\r\n',
    }).forEach(([title, text]) => {
      // Guards against heads on whose end a sender and a lenient parser disagree.
      refuses(title, t => {
        t.false(accepts(new HeadGrammar(), text));
      });
    });
  });

  // Guards against a response that is refused although no reader can misunderstand it.
  it('accepts empty lines before the status line', t => {
    t.true(isComplete(`\r\n\r\n${HEAD}\r\n`));
  });

  // Guards against the body of a changed protocol that is read as another head.
  it('takes the status 101 for that of a final response', t => {
    t.true(isComplete('HTTP/1.1 101 Switching Protocols\r\n\r\n\0'));
  });
});
