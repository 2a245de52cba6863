/** Counts executions per key and, if the service honours keys, repeats the answer of a key. */
export class ExecutionLog {
  readonly #executions = new Map<string, number>();
  readonly #answers = new Map<string, string>();
  readonly #honoursKey: boolean;

  constructor(honoursKey: boolean) {
    this.#honoursKey = honoursKey;
  }

  /** Runs the request unless its key has already run and the service honours keys. */
  execute(key: string, method: string, path: string): string {
    const recorded = this.#answers.get(key);
    if (this.#honoursKey && recorded !== undefined) {
      return recorded;
    }
    const execution = (this.#executions.get(key) ?? 0) + 1;
    const answer = JSON.stringify({ key, method, path, execution });
    this.#executions.set(key, execution);
    this.#answers.set(key, answer);
    return answer;
  }

  counts(): Record<string, number> {
    return Object.fromEntries(this.#executions);
  }
}
