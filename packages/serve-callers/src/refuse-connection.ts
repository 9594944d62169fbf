import type { Socket } from 'node:net';
import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES } from '@laburnumshift/types';
import { renderRefusal } from './render-refusal.js';

/** Status lines for error codes of the Node.js HTTP parser; other codes give `400 Bad Request`. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Refuses a request that could not be parsed or did not arrive in time, and closes its connection.
 *
 * @param code error code of the Node.js HTTP parser
 */
export function refuseConnection(socket: Socket, code: string): void {
  const line = STATUS_LINES[code] ?? '400 Bad Request';
  const body = renderRefusal(createRefusal('bad_request', line.slice(4), OUTCOMES.notRun), '');
  const head = `HTTP/1.1 ${line}\r\ncontent-type: application/json\r\nconnection: close`;
  socket.end(`${head}\r\ncontent-length: ${String(Buffer.byteLength(body))}\r\n\r\n${body}`, () => {
    socket.destroy();
  });
}
