import { createEntryClient } from '@laburnumshift/call-entry';
import type { DemoContext } from './demo-context.js';
import { buildPrompt } from './build-prompt.js';
import type { DemoFigures } from './demo-figures.js';
import { pickDaemon } from './pick-daemon.js';
import { waitForExports } from './wait-for-exports.js';

const PROMPT_PIECES = 24;
/** Long prompts that push the first one out of every engine's memory: two for each of the 8 engines. */
const OTHER_PROMPTS = 16;

/** Runs a long prompt, lets other prompts evict it, and runs it again. */
export async function runReturningPrompt(
  context: DemoContext,
): Promise<Pick<DemoFigures, 'firstTokenFirstMs' | 'firstTokenReturnMs' | 'shareRecomputedOnReturn'>> {
  const client = createEntryClient(pickDaemon(context, 0).callersUrl, 'night-guides-demo-key');
  const prompt = buildPrompt('the ghost of the harbour archive', PROMPT_PIECES);
  const request = { service: 'scripts', prompt, maxTokens: 16 };
  const first = await client.complete(request);
  await waitForExports(context);
  const others = Array.from({ length: OTHER_PROMPTS }, (_, i) =>
    client.complete({ ...request, prompt: buildPrompt(`another archive ${String(i)}`, PROMPT_PIECES) }),
  );
  await Promise.all(others);
  const before = await context.getReport();
  const again = await client.complete(request);
  const after = await context.getReport();
  client.close();
  const computed = after.computedTokens - before.computedTokens;
  const all =
    computed + after.cachedTokens - before.cachedTokens + after.importedTokens - before.importedTokens;
  return {
    firstTokenFirstMs: Math.round(first.firstTokenMs ?? Number.NaN),
    firstTokenReturnMs: Math.round(again.firstTokenMs ?? Number.NaN),
    shareRecomputedOnReturn: computed / all,
  };
}
