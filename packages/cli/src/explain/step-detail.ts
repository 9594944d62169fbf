/** Members of a step; which are present depends on the step. */
export type StepDetail = Readonly<Record<string, unknown>>;
