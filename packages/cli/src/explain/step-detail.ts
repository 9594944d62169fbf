/** Members of a trace step. The step name determines which members are present. */
export type StepDetail = Readonly<Record<string, unknown>>;
