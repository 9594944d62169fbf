import { computeAnswer } from '@laburnumshift/fakes/engine';
import { computeToken } from '@laburnumshift/fakes/older-system';
import type { CompletionOperation } from '../history/completion-operation.js';
import type { History } from '../history/history.js';
import { MODEL } from '../harness/model.js';
import { isEnding } from './is-ending.js';

/**
 * I4: each answer is the one to its own prompt, from one system, in order and whole; what arrived before a refusal or a cut is
 * its beginning. A node that neither stopped nor died never cuts an answer.
 */
export function checkAnswers(history: History): readonly string[] {
  return history.completions.flatMap((operation) => {
    const { key, account, node, tokens, maxTokens, offset, result } = operation;
    const name = `${key} of ${account} at ${node}`;
    const broken: string[] = [];
    const own = computeAnswer(MODEL, operation.prompt, maxTokens, offset);
    if (!isBeginning(tokens, own) && !isBeginning(tokens, computeOlder(operation))) {
      broken.push(`${name} got tokens that are not its answer: ${tokens.join('').slice(0, 80)}`);
    }
    if (result.kind === 'answered' && tokens.length !== maxTokens - offset) {
      broken.push(
        `${name} got ${String(tokens.length)} of ${String(maxTokens - offset)} tokens as a whole answer`,
      );
    }
    const life = history.lives.find((other) => other.node === node);
    if (result.kind === 'cut' && (life === undefined || !isEnding(life, operation))) {
      broken.push(`${name} was cut by a running node: ${result.detail}`);
    }
    return broken;
  });
}

function isBeginning(tokens: readonly string[], whole: readonly string[]): boolean {
  return tokens.length <= whole.length && tokens.every((text, index) => text === whole[index]);
}

function computeOlder({ prompt, maxTokens, offset }: CompletionOperation): readonly string[] {
  return Array.from({ length: maxTokens - offset }, (_, index) => computeToken(prompt, offset + index));
}
