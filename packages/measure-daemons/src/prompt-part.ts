/** A stretch of a prompt whose text follows from its name. */
export interface PromptPart {
  readonly name: string;
  readonly tokens: number;
}
