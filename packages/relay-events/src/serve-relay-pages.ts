import http from 'node:http';
import { openListener } from '@laburnumshift/addresses';
import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { pack } from 'msgpackr';
import type { RelayPage } from './relay-page.js';

/** Longest wait of a long poll, milliseconds. It is bounded because each page also confirms the copies of the requesting host. */
const MAX_WAIT_MS = 1000;

/**
 * Serves pages of changes to other hosts over HTTP. Query: `life` and `since` (the known position), `events` (`0` for none),
 * `wait` (long poll, milliseconds) and any number of `kind` (`KIND:REVISION`). Replies with 400 when `since` or a revision is
 * not a non-negative integer.
 *
 * @param address `IP:port` to listen on
 */
export async function serveRelayPages(
  address: string,
  buildPage: (
    life: string,
    since: number,
    wanted: readonly (readonly [string, number])[],
    wantsEvents: boolean,
  ) => RelayPage,
  waitForChanges: (wanted: readonly (readonly [string, number])[], waitMs: number) => Promise<void>,
): Promise<http.Server> {
  const logger = createLogger('relay');
  const replyToRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const receivedMs = readMonotonicMs();
    const query = new URLSearchParams((request.url ?? '').split('?', 2)[1]);
    const since = Number(query.get('since'));
    if (!Number.isInteger(since) || since < 0) {
      response.writeHead(400).end();
      return;
    }
    const wanted = query.getAll('kind').map((text): readonly [string, number] => {
      const at = text.lastIndexOf(':');
      return [text.slice(0, at), Number(text.slice(at + 1))];
    });
    if (wanted.some(([, after]) => !Number.isInteger(after) || after < 0)) {
      response.writeHead(400).end();
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait') ?? 0));
    if (waitMs > 0) await waitForChanges(wanted, waitMs);
    const page = buildPage(query.get('life') ?? '', since, wanted, query.get('events') !== '0');
    const bytes = pack({ ...page, heldMs: readMonotonicMs() - receivedMs } satisfies RelayPage);
    response.writeHead(200, { 'content-type': 'application/msgpack', 'content-length': bytes.length });
    response.end(bytes);
  };
  const server = http.createServer((request, response) => {
    replyToRequest(request, response).catch((error: unknown) => {
      logger.error('failed to serve a page to another host', { detail: String(error) });
      if (!response.headersSent) response.writeHead(500);
      response.end();
    });
  });
  await openListener(server, address);
  return server;
}
