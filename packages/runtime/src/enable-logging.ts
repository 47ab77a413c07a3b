/** The log's library looks once, as it is loaded, whether it is to write at all (design 2.2). */
process.env['ROARR_LOG'] = 'true';
