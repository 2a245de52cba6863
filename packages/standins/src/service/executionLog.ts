/** Counts the executions of each idempotency key and stores their responses. */
export class ExecutionLog {
  readonly #executions = new Map<string, number>();
  readonly #answers = new Map<string, string>();
  readonly #honoursKey: boolean;

  constructor(honoursKey: boolean) {
    this.#honoursKey = honoursKey;
  }

  /** Executes a request, or returns the stored response if the service honours keys and has executed this one. */
  execute(key: string, method: string, path: string): string {
    const storedAnswer = this.#answers.get(key);
    if (this.#honoursKey && storedAnswer !== undefined) {
      return storedAnswer;
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
