import { CHARACTERS_PER_TOKEN } from '@laburnumshift/hash-pieces';
import { PIECE_TOKENS } from './piece-tokens.js';

const PIECE_CHARACTERS = PIECE_TOKENS * CHARACTERS_PER_TOKEN;

/** Letters of the pieces: prompts share beginnings, and two share their ends after different beginnings. */
const PIECES = ['abcdef', 'abcdeg', 'xbcdef', 'hijk', 'lmnopqrs', 'yb'];

/** Prompt texts that all accounts send. */
export const PROMPTS: readonly string[] = PIECES.map((letters) =>
  letters
    .split('')
    .map((letter) => `Piece ${letter}. `.padEnd(PIECE_CHARACTERS, letter))
    .join(''),
);
