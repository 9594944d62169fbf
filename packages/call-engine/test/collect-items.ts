import { createEngineClient } from '@laburnumshift/call-engine';
import type { EngineRequest, EngineStreamItem, StreamTimeouts } from '@laburnumshift/types';

/** Long enough that a busy machine does not end a correct stream. */
const LIMITS: StreamTimeouts = { firstTokenMs: 20_000, betweenTokensMs: 20_000 };

/** Runs a completion with a new client; returns the texts of the tokens, the last item and all items. */
export async function collectItems(
  url: string,
  request: EngineRequest,
  signal: AbortSignal = new AbortController().signal,
  limits = LIMITS,
): Promise<{ texts: string[]; last: EngineStreamItem | undefined; items: EngineStreamItem[] }> {
  const client = createEngineClient({ url });
  const items: EngineStreamItem[] = [];
  for await (const item of client.streamCompletion(request, limits, signal)) items.push(item);
  client.close();
  const texts = items.flatMap((item) => (item.kind === 'token' ? [item.token.text] : []));
  return { texts, last: items.at(-1), items };
}
