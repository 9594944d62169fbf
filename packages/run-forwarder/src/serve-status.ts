import http from 'node:http';
import { openListener } from '@laburnumshift/addresses';
import { createLogger } from '@laburnumshift/logger';
import type { StatusPages } from './status-pages.js';

/**
 * Serves the readiness check of the load balancer, or the metrics, on `IP:port`. Other paths get 404, a page that throws gets 500.
 * Rejects when the address cannot be bound.
 */
export async function serveStatus(address: string, pages: StatusPages): Promise<http.Server> {
  const logger = createLogger('status');
  const buildPage = (path: string): ReturnType<StatusPages[string]> => {
    try {
      return pages[path]?.() ?? { status: 404, text: 'not found\n' };
    } catch (error) {
      logger.error('page failed', { path, detail: String(error) });
      return { status: 500, text: 'page failed\n' };
    }
  };
  const server = http.createServer((request, response) => {
    const page = buildPage((request.url ?? '').split('?', 1)[0] ?? '');
    response.writeHead(page.status, { 'content-type': 'text/plain' });
    response.end(page.text);
  });
  await openListener(server, address);
  logger.info('listening', { address, paths: Object.keys(pages) });
  return server;
}
