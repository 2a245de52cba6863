/** Resolves after the given duration, without a timer if it is 0. */
export async function delay(durationMs: number): Promise<void> {
  if (durationMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, durationMs));
  }
}
