import { median, rounded } from '../common/statistics.ts';
import { DEFAULT_OPTIONS, SEEDS } from './options.ts';
import { runOverload } from './runOverload.ts';

const figuresBySeed = SEEDS.map((seed) => {
  const figures = runOverload({ ...DEFAULT_OPTIONS, seed });
  console.log(JSON.stringify({ seed, ...figures }));
  return figures;
});
console.log(
  JSON.stringify({
    interactiveGoodputRatio: rounded(median(figuresBySeed.map((figures) => figures.interactiveGoodputRatio))),
    attemptsPerRequest: rounded(median(figuresBySeed.map((figures) => figures.attemptsPerRequest))),
  }),
);
