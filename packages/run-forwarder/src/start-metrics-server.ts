import type http from 'node:http';
import { startLoop } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { serveStatus } from './serve-status.js';
import type { QueryPages } from './query-pages.js';
import type { StatusPages } from './status-pages.js';

/** Pause between attempts to open the address of the metrics, milliseconds. */
const RETRY_MS = 2000;

/**
 * Serves the metrics on `IP:port` from when the address can be bound. A host serves calls without them.
 *
 * @returns a function that ends the server, or the attempts
 */
export function startMetricsServer(
  address: string,
  pages: StatusPages,
  queries: QueryPages = {},
): () => void {
  const logger = createLogger('status');
  let server: http.Server | undefined;
  let isClosed = false;
  let hasFailed = false;
  const loop = startLoop(
    RETRY_MS,
    async () => {
      const opened = await serveStatus(address, pages, queries);
      loop.stop();
      server = opened;
      if (isClosed) opened.close();
    },
    (error) => {
      if (!hasFailed)
        logger.error('no metrics until the address is free', { address, detail: String(error) });
      hasFailed = true;
    },
  );
  return () => {
    isClosed = true;
    loop.stop();
    server?.close();
  };
}
