import type { ListResult, PlatformCallClass, PlatformObject } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { encodePath } from './encode-path.js';
import { fetchWithRetries } from './fetch-with-retries.js';
import type { Transport } from './transport.js';

const PAGE_LIMIT = 1000;

/**
 * Lists the objects of a kind whose names start with `prefix`, page by page; each page has its own deadline. The revision is
 * that of the first page, so that a watch from it misses no change made during the listing, but may report some again.
 */
export async function listAllPages(
  transport: Transport,
  kind: string,
  prefix: string,
  callClass: PlatformCallClass,
): Promise<ListResult> {
  const items: PlatformObject[] = [];
  let revision: number | undefined;
  let after = '';
  for (;;) {
    const query = new URLSearchParams({ prefix, after, limit: String(PAGE_LIMIT) });
    const path = `${encodePath('objects', kind)}?${query.toString()}`;
    const deadlineAt = transport.computeDeadline();
    const result = await fetchWithRetries(transport, path, ANSWER_SCHEMAS.page, callClass, deadlineAt);
    if (result.kind === 'unavailable') return result;
    if (result.kind === 'status') return { kind: 'unavailable', detail: `status ${String(result.status)}` };
    const { body } = result;
    revision ??= body.revision;
    items.push(...body.items.map((item) => ({ kind, ...item })));
    if (body.next === undefined || body.next <= after) return { kind: 'listed', items, revision };
    after = body.next;
  }
}
