import { startTimer } from '@laburnumshift/clock';
import { parseUrl } from './parse-url.js';

/** A node asks all others before it answers, so its answer may take longer than one call. */
const TIMEOUT_MS = 8000;

/** What the operator endpoint of a node answered. */
type NodeAnswer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'unreachable'; readonly detail: string };

/** Calls the operator endpoint of a node. */
export async function askNode(
  node: string | undefined,
  token: string | undefined,
  method: 'GET' | 'POST',
  path: string,
): Promise<NodeAnswer> {
  const url = new URL(path, parseUrl('--node', 'LABURNUMSHIFT_NODE', node));
  const stopper = new AbortController();
  const cancelTimer = startTimer(TIMEOUT_MS, () => {
    stopper.abort(new Error(`no answer in ${String(TIMEOUT_MS)} ms`));
  });
  try {
    const headers: Record<string, string> = token === undefined ? {} : { authorization: `Bearer ${token}` };
    const answer = await fetch(url, { method, headers, signal: stopper.signal });
    return { kind: 'answered', status: answer.status, body: await answer.json() };
  } catch (error) {
    const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error;
    return { kind: 'unreachable', detail: cause instanceof Error ? cause.message : String(cause) };
  } finally {
    cancelTimer();
  }
}
