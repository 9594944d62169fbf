/** Average number of characters per token in English text. Token counts are estimated with it, without a tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;
