import http from 'node:http';
import { openListener } from '@laburnumshift/addresses';
import { startTimer } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { QueryPages } from './query-pages.js';
import type { StatusPages } from './status-pages.js';

/** Maximum size of the body of a query, bytes: the largest header section that callers may send, and its JSON. */
const MAX_QUERY_BYTES = 131_072;
/** Maximum number of queries whose bodies are read at the same time; further ones are answered with 503. */
const MAX_OPEN_QUERIES = 4;
/** Time in which a query has to be complete, milliseconds, so that a slow client does not take the place of others. */
const QUERY_TIMEOUT_MS = 5000;

type Page = ReturnType<StatusPages[string]>;

/**
 * Serves the readiness check of the load balancer, or the metrics, on `IP:port`. Other paths get 404, a page that throws gets 500.
 * Rejects when the address cannot be bound.
 *
 * @param queries pages that answer POST requests with a body
 */
export async function serveStatus(
  address: string,
  pages: StatusPages,
  queries: QueryPages = {},
): Promise<http.Server> {
  const logger = createLogger('status');
  let openQueries = 0;
  const buildPage = (path: string, build: () => Page | undefined): Page => {
    try {
      return build() ?? { status: 404, text: 'not found\n' };
    } catch (error) {
      logger.error('page failed', { path, detail: String(error) });
      return { status: 500, text: 'page failed\n' };
    }
  };
  const reply = (response: http.ServerResponse, page: Page, type: string): void => {
    response.writeHead(page.status, { 'content-type': type });
    response.end(page.text);
  };
  const replyQuery = (response: http.ServerResponse, page: Page): void => {
    reply(response, page, 'application/json');
  };
  /** Answers a query that is not read, and closes its connection. */
  const refuseQuery = (response: http.ServerResponse, status: number, error: string): void => {
    response.setHeader('connection', 'close');
    replyQuery(response, { status, text: `${JSON.stringify({ error })}\n` });
  };
  const handleQuery = (
    path: string,
    query: QueryPages[string],
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    if (request.method !== 'POST') {
      refuseQuery(response, 405, 'the page needs a POST request');
      return;
    }
    if (openQueries >= MAX_OPEN_QUERIES) {
      refuseQuery(response, 503, 'too many requests at the same time');
      return;
    }
    openQueries += 1;
    const stopTimer = startTimer(QUERY_TIMEOUT_MS, () => {
      request.destroy();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    const readChunk = (chunk: Buffer): void => {
      size += chunk.length;
      if (size <= MAX_QUERY_BYTES) {
        chunks.push(chunk);
        return;
      }
      request.off('data', readChunk);
      request.resume();
      refuseQuery(response, 413, 'the request is too large');
    };
    request.on('data', readChunk);
    request.on('end', () => {
      if (size > MAX_QUERY_BYTES) return;
      replyQuery(
        response,
        buildPage(path, () => query(Buffer.concat(chunks).toString())),
      );
    });
    response.on('close', () => {
      stopTimer();
      openQueries -= 1;
    });
  };
  const server = http.createServer((request, response) => {
    const path = (request.url ?? '').split('?', 1)[0] ?? '';
    const query = queries[path];
    if (query !== undefined) {
      handleQuery(path, query, request, response);
      return;
    }
    reply(
      response,
      buildPage(path, () => pages[path]?.()),
      'text/plain',
    );
  });
  await openListener(server, address);
  logger.info('listening', { address, paths: [...Object.keys(pages), ...Object.keys(queries)] });
  return server;
}
