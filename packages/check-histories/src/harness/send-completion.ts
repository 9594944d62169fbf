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

/** Sends a completion through a node and records it; `undefined` when no node is in service. */
export async function sendCompletion(
  context: RunContext,
  node: number,
  call: CompletionCall,
): Promise<CallerResult | undefined> {
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
    signal: limit.signal,
  });
  cancelTimer();
  const result: CallerResult = output.finished ? { kind: 'answered' } : toCallerResult(output.error);
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
    tokens: output.tokens,
  });
  return result;
}
