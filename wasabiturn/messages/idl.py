"""Loading of the Thrift IDL files of this package.

Building the parser takes much longer than parsing one of our files, so all
files share one parser.
"""

from functools import cache
from pathlib import Path
from typing import Any

from ply import lex, yacc
from thriftpy2.parser import lexer, parser

_IDL_FOLDER = Path(__file__).parent / 'wire'


def load_idl(file_name: str) -> Any:
    """Load one IDL file of this package as a module of structs."""
    idl_lexer, idl_parser = _create_parser()
    return parser.parse(
        str(_IDL_FOLDER / file_name),
        module_name=f'{Path(file_name).stem}_thrift',
        lexer=idl_lexer,
        parser=idl_parser,
    )


@cache
def _create_parser() -> tuple[Any, Any]:
    idl_parser = yacc.yacc(module=parser, debug=False, write_tables=False)
    return lex.lex(module=lexer), idl_parser
