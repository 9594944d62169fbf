import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { CallerResult } from '../history/caller-result.js';
import type { ACCOUNTS } from './accounts.js';
import { CALLER_LIMIT_MS } from './caller-limit-ms.js';
import type { RunContext } from './run-context.js';
import { toCallerResult } from './to-caller-result.js';

/** A completion to be sent. */
interface CompletionCall {
  readonly account: (typeof ACCOUNTS)[number];
  readonly service: string;
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** What a caller has after one send. */
interface CompletionSend {
  readonly result: CallerResult;
  /** Output tokens from the beginning of the answer. */
  readonly tokens: readonly string[];
}

/**
 * Sends a completion through a node and records it; `undefined` when no node is in service.
 *
 * @param earlier tokens of a cut answer, after which this one continues; both together are recorded as one answer
 */
export async function sendCompletion(
  context: RunContext,
  node: number,
  call: CompletionCall,
  earlier: readonly string[] = [],
): Promise<CompletionSend | undefined> {
  const entry = context.fleet.pickNode(node);
  if (entry === undefined) return undefined;
  const { account, service, key, prompt, maxTokens } = call;
  const limit = new AbortController();
  const cancelTimer = startTimer(CALLER_LIMIT_MS, () => {
    limit.abort();
  });
  const startMs = readMonotonicMs();
  const output = await context.clients.getClient(entry, account.key).complete({
    service,
    prompt,
    maxTokens,
    requestId: key,
    conversation: key,
    offset: earlier.length,
    signal: limit.signal,
  });
  cancelTimer();
  const result: CallerResult = output.finished ? { kind: 'answered' } : toCallerResult(output.error);
  const tokens = [...earlier, ...output.tokens];
  context.completions.push({
    account: account.name,
    node: entry.life.node,
    key,
    startMs,
    endMs: readMonotonicMs(),
    result,
    service,
    prompt,
    maxTokens,
    offset: 0,
    tokens,
  });
  return { result, tokens };
}
