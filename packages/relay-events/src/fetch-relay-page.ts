import http from 'node:http';
import { watchResponse } from '@laburnumshift/check-http';
import { startTimer } from '@laburnumshift/clock';
import { createByteBudget, createByteCollector } from '@laburnumshift/collect-bytes';
import { unpack } from 'msgpackr';
import { RELAY_PAGE } from './relay-page-schema.js';
import type { RelayPage } from './relay-page.js';

/** Timeout of a request beyond its long-poll wait, milliseconds. A page with all pieces of a hundred engines takes about 5 MB. */
const TIMEOUT_MS = 1500;
const MAX_PAGE_BYTES = 32 * 1024 * 1024;
const OK = 200;

/**
 * Fetches the changes after a position from a relay. Never rejects.
 *
 * @param life id of the relay process in which `since` was valid; empty when unknown
 * @param wanted kinds of platform objects, each with the revision after which changes are wanted
 * @param waitMs longest time for which the relay may hold the request until an object changes, milliseconds
 * @returns the page, or the reason of the failure as text
 */
export function fetchRelayPage(
  agent: http.Agent,
  address: string,
  life: string,
  since: number,
  wanted: readonly (readonly [kind: string, after: number])[],
  wantsEvents: boolean,
  waitMs = 0,
): Promise<RelayPage | string> {
  return new Promise((resolve) => {
    const query = new URLSearchParams({ life, since: String(since), events: wantsEvents ? '1' : '0' });
    if (waitMs > 0) query.set('wait', String(waitMs));
    for (const [kind, after] of wanted) query.append('kind', `${kind}:${String(after)}`);
    const request = http.get(`http://${address}/?${query.toString()}`, { agent });
    watchResponse(request, (response) => {
      const reservation = createByteBudget(MAX_PAGE_BYTES).openReservation();
      const collector = createByteCollector({ maxBytes: MAX_PAGE_BYTES, reservation });
      response.on('data', (part: Buffer) => {
        const fault = collector.addChunk(part);
        if (fault !== undefined) request.destroy(new Error(`page: ${fault}`));
      });
      response.on('error', (error) => {
        resolve(error.message);
      });
      response.on('end', () => {
        try {
          const page = RELAY_PAGE.safeParse(unpack(collector.getBytes()));
          resolve(response.statusCode === OK && page.success ? page.data : 'unreadable page');
        } catch (error) {
          resolve(String(error));
        }
      });
    });
    const stopTimer = startTimer(TIMEOUT_MS + waitMs, () => {
      request.destroy(new Error(`no page within ${String(TIMEOUT_MS + waitMs)} ms`));
    });
    request.on('close', () => {
      stopTimer();
      resolve('connection closed before the page was complete');
    });
    request.on('error', (error) => {
      resolve(error.message);
    });
  });
}
