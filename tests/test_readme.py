import re
from pathlib import Path


def test_the_embedding_example_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, flags=re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
