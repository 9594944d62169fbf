import { estimateTokens } from '@laburnumshift/hash-pieces';
import type { CachedBlock } from './cached-block.js';
import { computePrefixTexts } from './compute-prefix-texts.js';
import { createLimit } from './create-limit.js';
import type { EngineRun } from './engine-run.js';
import type { EngineState } from './engine-state.js';
import { importPiece } from './import-piece.js';

function isCancelled(run: EngineRun): boolean {
  return run.stopper.signal.aborted;
}

/** Finds the leading blocks of the prompt that are cached. */
function findPrefix(state: EngineState, run: EngineRun): CachedBlock[] {
  const { cache_scope: scope, pieces } = run.request;
  const blocks: CachedBlock[] = [];
  for (const piece of pieces) {
    const block = state.boot.cache.findBlock(scope, piece.chain);
    if (block === undefined) break;
    blocks.push(block);
  }
  return blocks;
}

/** Starts the imports of the tail; each resolves to a block or to a miss. */
function beginImports(
  state: EngineState,
  run: EngineRun,
  from: number,
  signal: AbortSignal,
): Map<number, Promise<CachedBlock | undefined>> {
  const { imports, head_pieces: head, cache_scope: scope, pieces } = run.request;
  const wanted = imports.filter(
    (ref) => ref.index >= Math.max(head, from) && pieces[ref.index]?.chain === ref.chain,
  );
  return new Map(wanted.map((ref) => [ref.index, importPiece(state, ref, scope, run.weightVersion, signal)]));
}

/**
 * Brings the prompt's blocks into the cache: cached ones are used, the head is computed while the tail is imported, and a miss is
 * computed in its turn. Fills in the counts of the run.
 */
export async function buildPrefix(state: EngineState, run: EngineRun): Promise<void> {
  const { boot, counters, settings } = state;
  const { request } = run;
  const { signal } = run.stopper;
  const texts = computePrefixTexts(request);
  const used = findPrefix(state, run);
  run.cachedPieces = used.length;
  const limit = createLimit(settings.importLimitMs, signal);
  const imports = beginImports(state, run, used.length, limit.signal);
  const finishPiece = (block: CachedBlock, tokens: number): void => {
    run.promptTokens -= tokens;
    used.push(block);
    // A run that outlived a swap of the weights leaves nothing in the cache of the new version.
    if (run.weightVersion === state.weightVersion) boot.cache.insertBlock(block);
  };
  for (const [index, piece] of request.pieces.entries()) {
    if (isCancelled(run)) break;
    if (index < run.cachedPieces) {
      run.promptTokens -= piece.tokens;
      counters.promptTokensCached += piece.tokens;
      continue;
    }
    const block = await imports.get(index);
    if (block !== undefined) {
      run.importedPieces += 1;
      counters.promptTokensImported += piece.tokens;
      finishPiece(block, piece.tokens);
      continue;
    }
    await boot.prefill.computeTokens(request.priority, piece.tokens, signal);
    if (isCancelled(run)) break;
    run.computedTokens += piece.tokens;
    counters.promptTokensComputed += piece.tokens;
    const bytes = (settings.pieceBytes * piece.tokens) / settings.pieceTokens;
    const { cache_scope: scope } = request;
    const text = texts[index] ?? '';
    finishPiece({ scope, chain: piece.chain, bytes, weightVersion: run.weightVersion, text }, piece.tokens);
  }
  limit.stop();
  if (request.pieces.length === 0 && !isCancelled(run)) {
    const tokens = estimateTokens(request.prompt);
    await boot.prefill.computeTokens(request.priority, tokens, signal);
    run.computedTokens += tokens;
    counters.promptTokensComputed += tokens;
  }
  boot.cache.refreshBlocks(used);
  run.promptTokens = 0;
  const foreignBy = used.flatMap((block, index) => [
    ...(block.scope === request.cache_scope ? [] : (['scope'] as const)),
    ...(block.weightVersion === run.weightVersion ? [] : (['version'] as const)),
    ...(block.text === texts[index] ? [] : (['text'] as const)),
  ]);
  run.foreign = foreignBy.length > 0;
  if (run.record !== undefined) run.record.foreignBy = foreignBy;
  if (run.foreign) counters.foreignAnswers += 1;
}
