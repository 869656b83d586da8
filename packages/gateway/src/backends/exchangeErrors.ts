import { RESET_ERROR_CODE } from './KeepAliveAgent.js';

/** Error codes of a connection that was reset, or closed without a response. */
const RESET_CODES: readonly unknown[] = [RESET_ERROR_CODE, 'ECONNRESET'];
const PARSE_ERROR_PREFIX = 'HPE_';
/** The connection ended inside a response, as it also does when its replica crashes. */
const TRUNCATED_CODE = 'HPE_INVALID_EOF_STATE';

/** Whether a connection was reset, or closed without a response. */
export function isReset(err: Error): boolean {
  return 'code' in err && RESET_CODES.includes(err.code);
}

/** Whether the HTTP parser refused the bytes of a response. */
export function isParseError(err: Error): boolean {
  const code = 'code' in err ? String(err.code) : '';
  return code.startsWith(PARSE_ERROR_PREFIX) && code !== TRUNCATED_CODE;
}
