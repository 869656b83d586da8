// Stands in for a Node.js whose HTTP parser accepts malformed names of headers in responses,
// whatever the options of a client say. It takes effect when it is imported, before or after
// the modules that use `node:http`.
import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';
import http from 'node:http';
import { createRequire, syncBuiltinESMExports } from 'node:module';

const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const COLON = 0x3a;
const DEL = 0x7f;
const HYPHEN = 0x2d;

/** The parser of Node.js, as far as it is replaced here. */
interface ParserMethods {
  initialize: (this: object, type: number, ...more: unknown[]) => void;
  execute: (this: object, data: Buffer) => unknown;
}

const { HTTPParser } = createRequire(import.meta.url)('node:_http_common') as {
  HTTPParser: { readonly RESPONSE: number; readonly prototype: ParserMethods };
};
const { initialize, execute } = HTTPParser.prototype;

const isMasked = (byte: number): boolean =>
  byte === DEL || (byte <= SPACE && byte !== CR && byte !== LF);

/** Replaces blanks and control bytes in the names of one head. */
class NameMask {
  #hasStatusLine = false;
  #lineBytes = 0;
  #isName = false;
  #isOver = false;

  apply(data: Buffer): Buffer {
    return this.#isOver
      ? data
      : Buffer.from(data.map(byte => this.#next(byte)));
  }

  #next(byte: number): number {
    if (this.#isOver || byte === CR) {
      return byte;
    }
    if (byte === LF) {
      const isEmpty = this.#lineBytes === 0;
      this.#isOver = this.#hasStatusLine && isEmpty;
      this.#hasStatusLine ||= !isEmpty;
      this.#isName = this.#hasStatusLine;
      this.#lineBytes = 0;
      return byte;
    }
    this.#lineBytes += 1;
    this.#isName &&= byte !== COLON;
    return this.#isName && isMasked(byte) ? HYPHEN : byte;
  }
}

const masks = new WeakMap<object, NameMask>();

Object.assign(HTTPParser.prototype, {
  initialize(this: object, type: number, ...more: unknown[]): void {
    if (type === HTTPParser.RESPONSE) {
      masks.set(this, new NameMask());
    } else {
      masks.delete(this);
    }
    initialize.call(this, type, ...more);
  },
  execute(this: object, data: Buffer): unknown {
    return execute.call(this, masks.get(this)?.apply(data) ?? data);
  },
} satisfies ParserMethods);

const { request } = http;

http.request = ((
  options: RequestOptions,
  listener?: (res: IncomingMessage) => void,
): ClientRequest => {
  const lenient: RequestOptions = { ...options, insecureHTTPParser: true };
  return request(lenient, listener);
}) as typeof request;
syncBuiltinESMExports();
