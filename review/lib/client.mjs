/** A client that keeps all bytes of its answer and how the connection ended. */
import net from 'node:net';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';

let lastId = 0;

/** Decodes a chunked body; `isWhole` only with its last chunk. */
const decodeChunks = (text) => {
  let rest = text;
  let body = '';
  for (;;) {
    const end = rest.indexOf('\r\n');
    if (end < 0) return { body, isWhole: false };
    const size = parseInt(rest.slice(0, end), 16);
    if (size === 0) return { body, isWhole: rest.startsWith('\r\n', end + 2) };
    if (rest.length < end + 2 + size + 2) return { body: body + rest.slice(end + 2), isWhole: false };
    body += rest.slice(end + 2, end + 2 + size);
    rest = rest.slice(end + 2 + size + 2);
  }
};

/**
 * Sends one request on a connection of its own. Resolves when the answer is complete, when the connection ends, or after `deadlineMs`.
 *
 * @param request `maxGapMs` is the pause after which the client abandons a stream
 * @returns the answer: `status` (0 without one), `body`, `isWhole` as HTTP/1.1 tells it, `end` of the connection, `framing`
 */
export function sendRequest({
  ip,
  port,
  method = 'POST',
  target,
  key,
  headers = {},
  body = '',
  deadlineMs,
  maxGapMs,
}) {
  lastId += 1;
  const id = headers['Attempt-Id'] ?? `r${lastId}-${Date.now().toString(36)}`;
  const sentMs = Date.now();
  const lines = [
    `${method} ${target} HTTP/1.1`,
    'Host: shop.example',
    `Attempt-Id: ${id}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
    ...Object.entries(headers)
      .filter(([name]) => name !== 'Attempt-Id')
      .map(([name, value]) => `${name}: ${value}`),
    ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ];
  return new Promise((resolve) => {
    const socket = net.connect(port, ip);
    let bytes = '';
    let answeredMs;
    let firstMs;
    let gapTimer;
    const watchGap = () => {
      clearTimeout(gapTimer);
      if (maxGapMs !== undefined) gapTimer = setTimeout(() => finish('abandoned after a gap'), maxGapMs);
    };
    const parse = (end) => {
      const at = bytes.indexOf('\r\n\r\n');
      if (at < 0) return { status: 0, body: '', head: bytes, isWhole: false, framing: 'none' };
      const head = bytes.slice(0, at);
      const status = Number(head.slice(9, 12));
      const rest = bytes.slice(at + 4);
      const length = /^content-length: (\d+)/im.exec(head)?.[1];
      if (length !== undefined) {
        const isWhole = rest.length === Number(length);
        return { status, head, body: rest, isWhole, framing: 'length' };
      }
      if (/^transfer-encoding: chunked/im.test(head))
        return { status, head, ...decodeChunks(rest), framing: 'chunks' };
      return { status, head, body: rest, isWhole: end === 'closed in order', framing: 'connection' };
    };
    const finish = (end) => {
      clearTimeout(timer);
      clearTimeout(gapTimer);
      socket.destroy();
      const answer = parse(end);
      answeredMs ??= Date.now();
      resolve({ id, sentMs, endedMs: answeredMs, tookMs: answeredMs - sentMs, firstMs, end, ...answer });
    };
    const timer = setTimeout(() => finish('given up'), deadlineMs);
    watchGap();
    socket.on('connect', () => socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`));
    socket.on('data', (chunk) => {
      firstMs ??= Date.now() - sentMs;
      watchGap();
      bytes += chunk.toString('latin1');
      if (parse('open').isWhole) finish('open');
    });
    socket.on('end', () => finish('closed in order'));
    socket.on('error', (error) => finish(`failed: ${error.code}`));
  });
}
