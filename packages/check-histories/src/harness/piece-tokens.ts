/** Tokens in a piece; small, so that prompts of several pieces stay short. */
export const PIECE_TOKENS = 50;
