import http from 'node:http';
import { openListener } from '@laburnumshift/addresses';
import { createLogger } from '@laburnumshift/logger';
import type { StatusPages } from './status-pages.js';

/** Answers questions of the balancer or of the metrics collector on one address; 404 for other paths. */
export async function serveStatus(address: string, pages: StatusPages): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const page = pages[(request.url ?? '').split('?', 1)[0] ?? '']?.() ?? {
      status: 404,
      text: 'not found\n',
    };
    response.writeHead(page.status, { 'content-type': 'text/plain' });
    response.end(page.text);
  });
  await openListener(server, address);
  createLogger('status').info('listening', { address, paths: Object.keys(pages) });
  return server;
}
