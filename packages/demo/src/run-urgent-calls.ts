import { createEntryClient } from '@laburnumshift/call-entry';
import { build } from 'hdr-histogram-js';
import type { DemoContext } from './demo-context.js';
import { buildPrompt } from './build-prompt.js';
import type { DemoFigures } from './demo-figures.js';
import { pickDaemon } from './pick-daemon.js';

const LONG_PROMPTS = 8;
const LONG_PIECES = 20;
const URGENT_CALLS = 30;

/** Runs short urgent calls beside long reviews on the same engines. */
export async function runUrgentCalls(
  context: DemoContext,
): Promise<Pick<DemoFigures, 'urgentP95Ms' | 'urgentAnswered'>> {
  const clients = context.daemons.map((daemon) =>
    createEntryClient(daemon.callersUrl, 'counter-west-demo-key'),
  );
  const pick = (turn: number) =>
    clients[turn % clients.length] ?? createEntryClient(pickDaemon(context, turn).callersUrl, '');
  const long = Array.from({ length: LONG_PROMPTS }, (_, i) =>
    pick(i).complete({
      service: 'history-reviews',
      prompt: buildPrompt(`garment history ${String(i)}`, LONG_PIECES),
      maxTokens: 8,
    }),
  );
  const times = build();
  let answered = 0;
  for (let i = 0; i < URGENT_CALLS; i += 1) {
    const output = await pick(i).complete({
      service: 'size-checks',
      prompt: `Is slider size ${String(i)} in stock?`,
      maxTokens: 2,
    });
    if (!output.finished) continue;
    answered += 1;
    times.recordValue(Math.round(output.firstTokenMs ?? 0));
  }
  await Promise.all(long);
  for (const client of clients) client.close();
  return { urgentP95Ms: times.getValueAtPercentile(95), urgentAnswered: answered / URGENT_CALLS };
}
