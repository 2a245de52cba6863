import packageFile from '../package.json' with { type: 'json' };

export const VERSION: string = packageFile.version;
