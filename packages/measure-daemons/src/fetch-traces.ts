import type { RequestTrace } from '@laburnumshift/types';
import type { EntryPoint } from './entry-point.js';

const TIMEOUT_MS = 4_000;

/** Fetches the traces of a request from all live nodes; empty when the daemon does not answer. */
export async function fetchTraces(
  { operatorsUrl }: Pick<EntryPoint, 'operatorsUrl'>,
  requestId: string,
): Promise<readonly RequestTrace[]> {
  try {
    const url = new URL(`/explain/${encodeURIComponent(requestId)}`, operatorsUrl);
    const answer = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    return answer.ok ? ((await answer.json()) as readonly RequestTrace[]) : [];
  } catch {
    return [];
  }
}
