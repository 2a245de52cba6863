import type { RandomSource } from '@pimentostall/core';
import type { PromptPart } from '../../types.ts';

/** A kind of streaming request with the mean lengths of its prompt parts. */
interface PromptClass {
  /** Fraction of all requests that are of this kind or an earlier one. */
  readonly upTo: number;
  readonly sharedTokens: number;
  readonly ownMeanTokens: number;
}

const CLASSES: readonly PromptClass[] = [
  { upTo: 1 / 3, sharedTokens: 13_300, ownMeanTokens: 3_720 },
  { upTo: 7 / 12, sharedTokens: 6_300, ownMeanTokens: 2_890 },
  { upTo: 1, sharedTokens: 350, ownMeanTokens: 1_110 },
];
const SHARED_PARTS = 930;
const MAX_OWN_TOKENS = 53_200;
/** Variance of the logarithm for which the standard deviation of a log-normal variable is its mean. */
const LOG_VARIANCE = Math.LN2;

export interface SimulatedPrompt {
  readonly classIndex: number;
  /** The shared part and the part of this request alone. */
  readonly parts: readonly [PromptPart, PromptPart];
  readonly promptTokens: number;
}

/** Draws prompts; the popularity of the shared parts falls with their rank to the power of `skew`. */
export class PromptSource {
  private count = 0;
  private readonly cumulativeWeights: readonly number[];

  constructor(
    private readonly random: RandomSource,
    skew: number,
    partsPerClass = Math.ceil(SHARED_PARTS / CLASSES.length),
  ) {
    let sum = 0;
    this.cumulativeWeights = Array.from({ length: partsPerClass }, (_, rank) => (sum += (rank + 1) ** -skew));
  }

  next(): SimulatedPrompt {
    const drawn = this.random();
    const classIndex = CLASSES.findIndex(({ upTo }) => drawn < upTo);
    const { sharedTokens, ownMeanTokens } = CLASSES[classIndex] ?? { sharedTokens: 0, ownMeanTokens: 0 };
    const target = this.random() * (this.cumulativeWeights.at(-1) ?? 0);
    const rank = this.cumulativeWeights.findIndex((weight) => weight >= target);
    const ownTokens = Math.max(1, Math.round(Math.min(MAX_OWN_TOKENS, this.logNormal(ownMeanTokens))));
    this.count += 1;
    return {
      classIndex,
      parts: [
        { partId: `shared-${classIndex}-${rank}`, tokens: sharedTokens },
        { partId: `own-${this.count}`, tokens: ownTokens },
      ],
      promptTokens: sharedTokens + ownTokens,
    };
  }

  private logNormal(mean: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return mean * Math.exp(Math.sqrt(LOG_VARIANCE) * normal - LOG_VARIANCE / 2);
  }
}
